#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <fcntl.h>
#include <time.h>
#include <unistd.h>

int rig_trouble = 1;
char rig_address[32];
pid_t rig_gateway_pid;
uint16_t rig_gateway_port;

static FILE *record;
static int64_t start_ms;
static char folder[64];
static uint16_t store_port;
static uint16_t ready_port;
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t rig_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void rig_sleep_ms(int64_t ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

	nanosleep(&ts, NULL);
}

void rig_init(const char *path)
{
	const char *t = getenv("TROUBLE");

	rig_trouble = !t || strcmp(t, "0") != 0;
	start_ms = rig_now_ms();
	signal(SIGPIPE, SIG_IGN);
	record = fopen(path, "w");
	if (!record) {
		perror(path);
		exit(RIG_CANNOT_RUN);
	}
	/* The metrics page has a fixed port: an address of its own for each run. */
	snprintf(rig_address, sizeof(rig_address), "127.%d.%d.7",
		 64 + getpid() / 250 % 128, 1 + getpid() % 250);
	snprintf(folder, sizeof(folder), "/tmp/review-XXXXXX");
	if (!mkdtemp(folder))
		rig_give_up("no temporary folder");
	rig_log("start, trouble %d, address %s", rig_trouble, rig_address);
}

void rig_log(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&log_lock);
	fprintf(record, "%7lld ms  ", (long long)(rig_now_ms() - start_ms));
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&log_lock);
}

void rig_end(void)
{
	char path[96];

	if (rig_gateway_pid > 0) {
		kill(rig_gateway_pid, SIGKILL);
		waitpid(rig_gateway_pid, NULL, 0);
		rig_gateway_pid = 0;
	}
	snprintf(path, sizeof(path), "%s/settings.json", folder);
	unlink(path);
	snprintf(path, sizeof(path), "%s/gateway.log", folder);
	unlink(path);
	rmdir(folder);
}

void rig_give_up(const char *reason)
{
	rig_log("cannot run: %s", reason);
	rig_end();
	_exit(RIG_CANNOT_RUN);
}

void rig_thread(void *(*fn)(void *), void *arg)
{
	pthread_t t;

	if (pthread_create(&t, NULL, fn, arg) != 0)
		rig_give_up("no thread");
	pthread_detach(t);
}

static struct sockaddr_in address_of(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(port) };

	inet_pton(AF_INET, rig_address, &sa.sin_addr);
	return sa;
}

/*
 * Listens on *@port, or on a free one if it is 0. Segments have the size of an
 * Ethernet link and windows are small, so that a peer that does not read blocks
 * the writer (DEPLOY.md); loopback alone would take a whole body at once.
 */
int rig_listen(uint16_t *port)
{
	struct sockaddr_in sa = address_of(*port);
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;
	int mss = 1460;
	int buffer = 2048;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof(mss));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, 128) < 0 ||
	    getsockname(fd, (struct sockaddr *)&sa, &len) < 0)
		rig_give_up("cannot listen");
	*port = ntohs(sa.sin_port);
	return fd;
}

int rig_connect(uint16_t port)
{
	struct sockaddr_in sa = address_of(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

int rig_write(int fd, const void *data, size_t len)
{
	const char *at = data;

	while (len) {
		ssize_t n = send(fd, at, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return 0;
		at += n;
		len -= (size_t)n;
	}
	return 1;
}

ssize_t rig_read(int fd, void *data, size_t len, int wait_ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	ssize_t n;

	if (poll(&p, 1, wait_ms) <= 0)
		return -1;
	n = recv(fd, data, len, 0);
	return n < 0 ? 0 : n;
}

int rig_header(const struct rig_message *m, const char *name, char *out,
	       size_t size)
{
	const char *line = strstr(m->head, "\r\n");
	size_t len = strlen(name);

	while (line && line[2] && line[2] != '\r') {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			const char *v = line + len + 1;
			size_t n;

			while (*v == ' ')
				v++;
			n = strcspn(v, "\r");
			if (n >= size)
				n = size - 1;
			memcpy(out, v, n);
			out[n] = '\0';
			return 1;
		}
		line = strstr(line, "\r\n");
	}
	return 0;
}

int rig_read_head(int fd, struct rig_message *m, int wait_ms)
{
	int64_t until_ms = rig_now_ms() + wait_ms;
	size_t have = 0;
	char text[32];
	char *end = NULL;

	memset(m, 0, sizeof(*m));
	while (!end) {
		int64_t left_ms = until_ms - rig_now_ms();
		ssize_t n = left_ms > 0 && have < RIG_HEAD_MAX - 1
				    ? rig_read(fd, m->head + have,
					       RIG_HEAD_MAX - 1 - have,
					       (int)left_ms)
				    : -1;

		if (n <= 0)
			return have ? -1 : 0;
		have += (size_t)n;
		m->head[have] = '\0';
		end = strstr(m->head, "\r\n\r\n");
	}
	m->body_len = have - (size_t)(end + 4 - m->head);
	if (rig_header(m, "Content-Length", text, sizeof(text)))
		m->body_expected = strtoul(text, NULL, 10);
	m->body = calloc(1, m->body_len + m->body_expected + 1);
	memcpy(m->body, end + 4, m->body_len);
	end[4] = '\0';
	return 1;
}

int rig_read_body(int fd, struct rig_message *m, int wait_ms)
{
	while (m->body_len < m->body_expected) {
		ssize_t n = rig_read(fd, m->body + m->body_len,
				     m->body_expected - m->body_len, wait_ms);

		if (n <= 0)
			return 0;
		m->body_len += (size_t)n;
	}
	return 1;
}

void rig_free(struct rig_message *m)
{
	free(m->body);
	m->body = NULL;
}

int rig_status(const struct rig_message *m)
{
	return strncmp(m->head, "HTTP/1.1 ", 9) == 0 ? atoi(m->head + 9) : -1;
}

/* ---- The store ---- */

#define ITEMS_MAX 256

struct item {
	char key[200];
	char *value;
	uint64_t rev;
	uint64_t created;
	uint64_t lease;
};

/* Deleted keys stay as items without a value, so that watches see them. */
static struct item items[ITEMS_MAX];
static int item_count;
static uint64_t store_rev = 10;
static uint64_t last_lease = 70;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static struct item *find_item(const char *key)
{
	int i;

	for (i = 0; i < item_count; i++) {
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	}
	return NULL;
}

static void put_base64(const char *key, const char *value, uint64_t lease)
{
	struct item *it = find_item(key);

	if (!it) {
		it = &items[item_count++];
		snprintf(it->key, sizeof(it->key), "%s", key);
	}
	store_rev++;
	if (!it->value)
		it->created = store_rev;
	free(it->value);
	it->value = value ? strdup(value) : NULL;
	it->rev = store_rev;
	it->lease = lease;
	pthread_cond_broadcast(&store_changed);
}

static char *encode_base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = calloc(1, len * 2 + 8);
	size_t i;
	size_t o = 0;

	for (i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			v |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (uint32_t)(unsigned char)text[i + 2];
		out[o++] = digits[v >> 18];
		out[o++] = digits[v >> 12 & 63];
		out[o++] = i + 1 < len ? digits[v >> 6 & 63] : '=';
		out[o++] = i + 2 < len ? digits[v & 63] : '=';
	}
	return out;
}

void rig_store_put(const char *key, const char *text)
{
	char *value = encode_base64(text);

	pthread_mutex_lock(&store_lock);
	put_base64(key, value, 0);
	pthread_mutex_unlock(&store_lock);
	free(value);
}

void rig_store_delete(const char *key)
{
	pthread_mutex_lock(&store_lock);
	if (find_item(key))
		put_base64(key, NULL, 0);
	pthread_mutex_unlock(&store_lock);
}

void rig_put_searcher(const char *id, const char *service, uint16_t port,
		      int seq)
{
	char key[64];
	char text[512];

	snprintf(key, sizeof(key), "servers/%s", id);
	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"a\","
		 "\"version\":\"v1\",\"capacity\":4,\"phase\":\"ready\","
		 "\"warmupLeftMs\":0,\"seq\":%d,\"born\":1700000000000}",
		 service, rig_address, port, seq);
	rig_store_put(key, text);
}

static void answer(int fd, int status, const char *body)
{
	char head[160];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 status, strlen(body));
	rig_write(fd, head, strlen(head));
	rig_write(fd, body, strlen(body));
}

static char *print_items(uint64_t after, const char *list, const char *tail)
{
	size_t size = 256;
	char *out;
	char *at;
	int n = 0;
	int i;

	for (i = 0; i < item_count; i++)
		size += 320 + (items[i].value ? strlen(items[i].value) : 0);
	out = at = calloc(1, size);
	at += sprintf(at, "{\"%s\":[", list);
	for (i = 0; i < item_count; i++) {
		const struct item *it = &items[i];

		if (it->rev <= after || (!it->value && !after))
			continue;
		at += sprintf(at, "%s{\"key\":\"%s\",\"rev\":%llu,",
			      n++ ? "," : "", it->key,
			      (unsigned long long)it->rev);
		at += it->value ? sprintf(at,
					  "\"value\":\"%s\",\"created\":%llu,"
					  "\"lease\":%llu}",
					  it->value,
					  (unsigned long long)it->created,
					  (unsigned long long)it->lease)
				: sprintf(at, "\"deleted\":true}");
	}
	sprintf(at, "],%s\"atRev\":%llu}", tail, (unsigned long long)store_rev);
	return out;
}

static uint64_t query_number(const char *head, const char *name)
{
	const char *at = strstr(head, name);

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

static void serve_watch(int fd, const char *head)
{
	uint64_t after = query_number(head, "after=");
	int64_t until_ms = rig_now_ms() + (int64_t)query_number(head, "waitMs"
								      "=");
	char *body;

	pthread_mutex_lock(&store_lock);
	while (store_rev <= after && rig_now_ms() < until_ms) {
		struct timespec ts;

		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_nsec += 20000000;
		ts.tv_sec += ts.tv_nsec / 1000000000;
		ts.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&store_changed, &store_lock, &ts);
	}
	body = print_items(after, "events", "");
	pthread_mutex_unlock(&store_lock);
	answer(fd, 200, body);
	free(body);
}

/* Copies the text between @name and the next quote to @out. */
static void json_text(const char *at, const char *name, char *out, size_t size)
{
	size_t n;

	at = at ? strstr(at, name) : NULL;
	out[0] = '\0';
	if (!at)
		return;
	at += strlen(name);
	n = strcspn(at, "\"");
	if (n >= size)
		n = size - 1;
	memcpy(out, at, n);
	out[n] = '\0';
}

/* A transaction with one condition and one write, as the gateway makes. */
static void serve_txn(int fd, const char *text)
{
	const char *expect = strstr(text, "\"expect\":[{");
	const char *writes = strstr(text, "\"writes\":[{");
	const struct item *it;
	char key[200];
	char value[4096];
	char body[8192];
	uint64_t rev = expect ? query_number(expect, "\"rev\":") : 0;

	json_text(writes, "\"key\":\"", key, sizeof(key));
	json_text(writes, "\"value\":\"", value, sizeof(value));
	pthread_mutex_lock(&store_lock);
	it = find_item(key);
	if ((it && it->value ? it->rev : 0) != rev) {
		snprintf(body, sizeof(body),
			 "{\"items\":[{\"key\":\"%s\",\"rev\":%llu,"
			 "\"value\":\"%s\"}]}",
			 key, (unsigned long long)it->rev, it->value);
		pthread_mutex_unlock(&store_lock);
		answer(fd, 412, body);
		return;
	}
	put_base64(key, value, writes ? query_number(writes, "\"lease\":") : 0);
	snprintf(body, sizeof(body), "{\"rev\":%llu}",
		 (unsigned long long)store_rev);
	pthread_mutex_unlock(&store_lock);
	answer(fd, 200, body);
}

static void serve_store_call(int fd, const struct rig_message *m)
{
	char body[128];

	if (strstr(m->head, "/api/kv-range")) {
		char *text;

		pthread_mutex_lock(&store_lock);
		text = print_items(0, "items", "\"hasMore\":false,");
		pthread_mutex_unlock(&store_lock);
		answer(fd, 200, text);
		free(text);
	} else if (strstr(m->head, "/api/kv-watch")) {
		serve_watch(fd, m->head);
	} else if (strstr(m->head, "/api/kv-txn")) {
		serve_txn(fd, m->body);
	} else if (strstr(m->head, "/api/kv-keep/")) {
		answer(fd, 200, "{\"ttlMs\":20000}");
	} else if (strstr(m->head, "/api/kv-lease")) {
		pthread_mutex_lock(&store_lock);
		snprintf(body, sizeof(body), "{\"lease\":%llu,\"ttlMs\":20000}",
			 (unsigned long long)++last_lease);
		pthread_mutex_unlock(&store_lock);
		answer(fd, 200, body);
	} else {
		answer(fd, 404, "{}");
	}
}

static void *store_connection(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct rig_message *m = calloc(1, sizeof(*m));

	while (rig_read_head(fd, m, 60000) == 1 && rig_read_body(fd, m, 5000)) {
		serve_store_call(fd, m);
		rig_free(m);
	}
	rig_free(m);
	free(m);
	close(fd);
	return NULL;
}

static void *store_main(void *arg)
{
	int listener = (int)(intptr_t)arg;

	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0)
			rig_thread(store_connection, (void *)(intptr_t)fd);
	}
	return NULL;
}

void rig_store_start(void)
{
	int fd = rig_listen(&store_port);

	rig_thread(store_main, (void *)(intptr_t)fd);
}

/* ---- The gateway ---- */

static uint16_t free_port(void)
{
	uint16_t port = 0;
	int fd = rig_listen(&port);

	close(fd);
	return port;
}

/* Settings as deploy/settings.json gives them for the users' small sites. */
static void write_settings(const char *path)
{
	FILE *f = fopen(path, "w");

	if (!f)
		rig_give_up("cannot write the settings");
	fprintf(f,
		"{\"host\":\"front-a-1\",\"data_centre\":\"a\","
		"\"caller_address\":\"%s:%u\",\"ready_address\":\"%s:%u\","
		"\"store_address\":\"%s:%u\",\"peer_address\":\"%s:%u\","
		"\"seeds\":[],\"store_reads_per_s\":2000,"
		"\"store_writes_per_s\":400,\"descriptors\":4100,"
		"\"core_share\":0.25,\"link_mbps\":1000.0,\"grace_s\":6,"
		"\"config_apply_ms\":3000,\"drain_ms\":3000,"
		"\"retry_ratio\":0.2,\"canary_share\":0.1,"
		"\"retry_slack\":56}\n",
		rig_address, rig_gateway_port, rig_address, ready_port,
		rig_address, store_port, rig_address, free_port());
	fclose(f);
}

static int is_ready(void)
{
	static const char request[] = "GET /api/readyz HTTP/1.1\r\n"
				      "Host: x\r\nConnection: close\r\n\r\n";
	struct rig_message *m = calloc(1, sizeof(*m));
	int fd = rig_connect(ready_port);
	int ok = fd >= 0 && rig_write(fd, request, strlen(request)) &&
		 rig_read_head(fd, m, 1000) == 1 && rig_status(m) == 200;

	if (fd >= 0)
		close(fd);
	rig_free(m);
	free(m);
	return ok;
}

void rig_gateway_start(void)
{
	char settings[96];
	char variable[128];
	char log[96];
	int i;

	rig_gateway_port = free_port();
	ready_port = free_port();
	snprintf(settings, sizeof(settings), "%s/settings.json", folder);
	snprintf(log, sizeof(log), "%s/gateway.log", folder);
	snprintf(variable, sizeof(variable), "COWSLIPPOINT_CONFIG=%s",
		 settings);
	write_settings(settings);
	rig_gateway_pid = fork();
	if (rig_gateway_pid == 0) {
		char *argv[] = { "target/cowslippoint", "gateway", NULL };
		char *envp[] = { variable, "PATH=/usr/bin:/bin", NULL };
		int fd = open(log, O_WRONLY | O_CREAT | O_TRUNC, 0600);

		dup2(fd, 1);
		dup2(fd, 2);
		execve(argv[0], argv, envp);
		_exit(127);
	}
	for (i = 0; i < 200 && !is_ready(); i++) {
		if (waitpid(rig_gateway_pid, NULL, WNOHANG) > 0) {
			rig_gateway_pid = 0;
			rig_give_up("the gateway ended at its start");
		}
		rig_sleep_ms(50);
	}
	if (i == 200)
		rig_give_up("the gateway is not ready");
	rig_log("gateway is ready, process %d", (int)rig_gateway_pid);
}

int rig_gateway_wait(int wait_ms)
{
	int64_t until_ms = rig_now_ms() + wait_ms;

	while (rig_now_ms() < until_ms) {
		if (waitpid(rig_gateway_pid, NULL, WNOHANG) > 0) {
			rig_gateway_pid = 0;
			return 1;
		}
		rig_sleep_ms(10);
	}
	return 0;
}
