#define _GNU_SOURCE
#include "rig-3.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define FRONT_PORT 8226
#define READY_PORT 8227
#define PEER_PORT 8224
#define STORE_PORT 8229
#define HEAD_MAX 16384
#define KEYS_MAX 256
#define EVENTS_MAX 65536
#define LEASES_MAX 1024
/* Items in one page of a listing. */
#define PAGE_ITEMS 500

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec begun;
static char temp_folder[128];
/* The addresses of a run are 127.net_a.net_b.N. */
static int net_a;
static int net_b;
static pid_t hosts[HOSTS_MAX];

double rig_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (now.tv_sec - begun.tv_sec) * 1e3 +
	       (now.tv_nsec - begun.tv_nsec) / 1e6;
}

void rig_sleep(double ms)
{
	struct timespec t = { (time_t)(ms / 1e3),
			      (long)((ms - 1e3 * (long)(ms / 1e3)) * 1e6) };

	if (ms > 0)
		while (nanosleep(&t, &t) < 0 && errno == EINTR)
			;
}

void rig_sleep_until(double ms)
{
	rig_sleep(ms - rig_ms());
}

int rig_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

void record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%9.1f ", rig_ms());
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void rig_init(const char *folder)
{
	char path[256];
	unsigned int seed;

	clock_gettime(CLOCK_MONOTONIC, &begun);
	signal(SIGPIPE, SIG_IGN);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	if (!record_file) {
		perror(path);
		exit(CANNOT_RUN);
	}
	seed = (unsigned int)getpid() * 2654435761u;
	net_a = 16 + (int)(seed >> 8) % 200;
	net_b = 1 + (int)(seed >> 16) % 250;
	snprintf(temp_folder, sizeof(temp_folder), "%s/review-3-XXXXXX",
		 getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp");
	if (!mkdtemp(temp_folder))
		cannot_run("no temporary folder");
	record("begin, TROUBLE=%d", rig_trouble());
}

void rig_end(void)
{
	struct dirent *e;
	DIR *d;
	int i;

	for (i = 0; i < HOSTS_MAX; i++) {
		if (hosts[i] <= 0)
			continue;
		kill(hosts[i], SIGKILL);
		waitpid(hosts[i], NULL, 0);
		hosts[i] = 0;
	}
	d = opendir(temp_folder);
	while (d && (e = readdir(d)) != NULL) {
		char path[512];

		snprintf(path, sizeof(path), "%s/%s", temp_folder, e->d_name);
		if (e->d_name[0] != '.')
			unlink(path);
	}
	if (d)
		closedir(d);
	rmdir(temp_folder);
}

void finish(int code)
{
	record("exit %d", code);
	rig_end();
	fflush(NULL);
	_exit(code);
}

void cannot_run(const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	record("cannot run: %s", text);
	fprintf(stderr, "cannot run: %s\n", text);
	finish(CANNOT_RUN);
}

/* Sockets and HTTP */

static void make_address(char out[24], int last)
{
	snprintf(out, 24, "127.%d.%d.%d", net_a, net_b, last);
}

static int listen_on(const char *address, int port, int *port_out)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	socklen_t len = sizeof(sa);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, address, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, 256) < 0)
		cannot_run("cannot listen on %s:%d", address, port);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	if (port_out)
		*port_out = ntohs(sa.sin_port);
	return fd;
}

static int connect_to(const char *address, int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	inet_pton(AF_INET, address, &sa.sin_addr);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static int send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return 0;
		data += n;
		len -= (size_t)n;
	}
	return 1;
}

struct message {
	char head[HEAD_MAX];
	char *body;
	size_t body_bytes;
	/* Bytes read behind the message. */
	char rest[HEAD_MAX];
	size_t rest_bytes;
};

static const char *field(const struct message *m, const char *name, char *out,
			 size_t size)
{
	const char *line = strstr(m->head, "\r\n");
	size_t len = strlen(name);

	out[0] = '\0';
	while (line && line[2]) {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			const char *v = line + len + 1;

			while (*v == ' ')
				v++;
			snprintf(out, size, "%.*s", (int)strcspn(v, "\r\n"), v);
			return out;
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

/* Reads a message with a length or without a body; 0 at the end or an error. */
static int read_message(int fd, struct message *m)
{
	size_t len = m->rest_bytes;
	char length[32];
	size_t body;
	char *end;

	memcpy(m->head, m->rest, len);
	m->rest_bytes = 0;
	free(m->body);
	m->body = NULL;
	m->body_bytes = 0;
	m->head[len] = '\0';
	while (!(end = strstr(m->head, "\r\n\r\n"))) {
		ssize_t n;

		if (len >= HEAD_MAX - 1)
			return 0;
		n = recv(fd, m->head + len, HEAD_MAX - 1 - len, 0);
		if (n <= 0)
			return 0;
		len += (size_t)n;
		m->head[len] = '\0';
	}
	end += 4;
	body = field(m, "Content-Length", length, sizeof(length))
		       ? strtoul(length, NULL, 10)
		       : 0;
	len -= (size_t)(end - m->head);
	m->body = calloc(body + 1, 1);
	m->body_bytes = len < body ? len : body;
	memcpy(m->body, end, m->body_bytes);
	m->rest_bytes = len - m->body_bytes;
	memcpy(m->rest, end + m->body_bytes, m->rest_bytes);
	*end = '\0';
	while (m->body_bytes < body) {
		ssize_t n = recv(fd, m->body + m->body_bytes,
				 body - m->body_bytes, 0);

		if (n <= 0)
			return 0;
		m->body_bytes += (size_t)n;
	}
	return 1;
}

static void start_thread(void *(*fn)(void *), void *ctx)
{
	pthread_t t;

	if (pthread_create(&t, NULL, fn, ctx) != 0)
		cannot_run("no thread");
	pthread_detach(t);
}

/* The store */

struct item {
	char key[204];
	char *value;
	int64_t rev;
	int64_t created;
	int64_t lease;
};

struct event {
	char key[204];
	/* NULL: deleted. */
	char *value;
	int64_t rev;
	int64_t created;
	int64_t lease;
};

struct lease {
	int64_t id;
	double ttl_ms;
	double ends_ms;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;
static struct item items[KEYS_MAX];
static struct event *events;
static int event_count;
static struct lease leases[LEASES_MAX];
static int64_t store_rev = 100;
static int64_t last_lease = 1000;
static int is_turned_away[HOSTS_MAX];
static int turned_away_calls[HOSTS_MAX];

static const char base64_set[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *to_base64(const char *text)
{
	size_t len = strlen(text);
	char *out = calloc(len / 3 * 4 + 8, 1);
	size_t at = 0;
	size_t i;

	for (i = 0; i < len; i += 3) {
		unsigned int v = (unsigned char)text[i] << 16;

		if (i + 1 < len)
			v |= (unsigned int)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (unsigned char)text[i + 2];
		out[at++] = base64_set[v >> 18 & 63];
		out[at++] = base64_set[v >> 12 & 63];
		out[at++] = i + 1 < len ? base64_set[v >> 6 & 63] : '=';
		out[at++] = i + 2 < len ? base64_set[v & 63] : '=';
	}
	return out;
}

static char *from_base64(const char *text)
{
	char *out = calloc(strlen(text) + 4, 1);
	unsigned int v = 0;
	int bits = 0;
	size_t at = 0;

	for (; *text && *text != '='; text++) {
		const char *c = strchr(base64_set, *text);

		v = v << 6 | (unsigned int)(c ? c - base64_set : 0);
		bits += 6;
		if (bits >= 8) {
			bits -= 8;
			out[at++] = (char)(v >> bits & 255);
		}
	}
	return out;
}

static struct item *find_item(const char *key)
{
	int i;

	for (i = 0; i < KEYS_MAX; i++) {
		if (items[i].value && strcmp(items[i].key, key) == 0)
			return &items[i];
	}
	return NULL;
}

static void add_event(const char *key, const char *value, int64_t created,
		      int64_t lease)
{
	struct event *e = &events[event_count++];

	if (event_count >= EVENTS_MAX)
		cannot_run("too many events");
	snprintf(e->key, sizeof(e->key), "%s", key);
	e->value = value ? strdup(value) : NULL;
	e->rev = store_rev;
	e->created = created;
	e->lease = lease;
	pthread_cond_broadcast(&store_changed);
}

/* Writes at the present revision. */
static void put_locked(const char *key, const char *value, int64_t lease)
{
	struct item *i = find_item(key);
	int n;

	for (n = 0; !i && n < KEYS_MAX; n++) {
		if (!items[n].value)
			i = &items[n];
	}
	if (!i)
		cannot_run("too many keys");
	if (!i->value) {
		snprintf(i->key, sizeof(i->key), "%s", key);
		i->created = store_rev;
	}
	free(i->value);
	i->value = strdup(value);
	i->rev = store_rev;
	i->lease = lease;
	add_event(key, value, i->created, lease);
}

static void delete_locked(const char *key)
{
	struct item *i = find_item(key);

	if (!i)
		return;
	free(i->value);
	i->value = NULL;
	add_event(key, NULL, 0, 0);
}

static void end_leases_locked(void)
{
	int n;
	int k;

	for (n = 0; n < LEASES_MAX; n++) {
		if (!leases[n].id || rig_ms() < leases[n].ends_ms)
			continue;
		for (k = 0; k < KEYS_MAX; k++) {
			if (items[k].value && items[k].lease == leases[n].id) {
				store_rev++;
				delete_locked(items[k].key);
			}
		}
		leases[n].id = 0;
	}
}

void store_put(const char *key, const char *json)
{
	pthread_mutex_lock(&store_lock);
	store_rev++;
	put_locked(key, json, 0);
	pthread_mutex_unlock(&store_lock);
}

void store_delete(const char *key)
{
	pthread_mutex_lock(&store_lock);
	store_rev++;
	delete_locked(key);
	pthread_mutex_unlock(&store_lock);
}

void store_turn_away(int host, int on)
{
	pthread_mutex_lock(&store_lock);
	is_turned_away[host] = on;
	/* Watches that wait are cut. */
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	record("store %s host %d", on ? "turns away" : "serves", host);
}

int store_turned_away_calls(int host)
{
	return turned_away_calls[host];
}

static int answer_store(int fd, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
	char head[256];
	int ok;

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
		 status, strlen(text));
	ok = send_all(fd, head, strlen(head)) &&
	     send_all(fd, text, strlen(text));
	free(text);
	json_decref(body);
	return ok;
}

static json_t *item_json(const char *key, const char *value, int64_t rev,
			 int64_t created, int64_t lease)
{
	char *text = to_base64(value);
	json_t *j = json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value",
			      text, "rev", (json_int_t)rev, "created",
			      (json_int_t)created, "lease", (json_int_t)lease);

	free(text);
	return j;
}

/* Value of @name in the query of @target, with %XX decoded. */
static void query(const char *target, const char *name, char *out, size_t size)
{
	const char *at = strchr(target, '?');
	size_t len = strlen(name);
	size_t n = 0;

	out[0] = '\0';
	while (at) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			at += len + 1;
			while (*at && *at != '&' && *at != ' ' && n + 1 < size) {
				unsigned int c = (unsigned char)*at++;

				if (c == '%' && sscanf(at, "%2x", &c) == 1)
					at += 2;
				out[n++] = (char)c;
			}
			out[n] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

static int compare_keys(const void *a, const void *b)
{
	const struct item *const *x = a;
	const struct item *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static json_t *range_locked(const char *prefix, const char *after)
{
	json_t *list = json_array();
	struct item *found[KEYS_MAX];
	int count = 0;
	int i;

	for (i = 0; i < KEYS_MAX; i++) {
		if (items[i].value &&
		    strncmp(items[i].key, prefix, strlen(prefix)) == 0 &&
		    (!after[0] || strcmp(items[i].key, after) > 0))
			found[count++] = &items[i];
	}
	qsort(found, (size_t)count, sizeof(found[0]), compare_keys);
	for (i = 0; i < count && i < PAGE_ITEMS; i++)
		json_array_append_new(
			list, item_json(found[i]->key, found[i]->value,
					found[i]->rev, found[i]->created,
					found[i]->lease));
	return json_pack("{s:o,s:b,s:I}", "items", list, "hasMore",
			 count > PAGE_ITEMS, "atRev", (json_int_t)store_rev);
}

static json_t *events_locked(const char *prefix, int64_t after, int *count)
{
	json_t *list = json_array();
	int i;

	*count = 0;
	for (i = 0; i < event_count; i++) {
		const struct event *e = &events[i];

		if (e->rev <= after ||
		    strncmp(e->key, prefix, strlen(prefix)) != 0)
			continue;
		(*count)++;
		if (e->value)
			json_array_append_new(list, item_json(e->key, e->value,
							      e->rev,
							      e->created,
							      e->lease));
		else
			json_array_append_new(
				list, json_pack("{s:s,s:I,s:b}", "key", e->key,
						"rev", (json_int_t)e->rev,
						"deleted", 1));
	}
	return json_pack("{s:o,s:I}", "events", list, "atRev",
			 (json_int_t)store_rev);
}

static int watch(int fd, int host, const char *target)
{
	char prefix[256];
	char text[64];
	int64_t after;
	double until_ms;
	json_t *body;
	int count;
	int turned_away;

	query(target, "prefix", prefix, sizeof(prefix));
	query(target, "after", text, sizeof(text));
	after = strtoll(text, NULL, 10);
	query(target, "waitMs", text, sizeof(text));
	until_ms = rig_ms() + strtod(text, NULL);
	pthread_mutex_lock(&store_lock);
	for (;;) {
		struct timespec t;

		end_leases_locked();
		body = events_locked(prefix, after, &count);
		turned_away = is_turned_away[host];
		if (count || turned_away || rig_ms() >= until_ms)
			break;
		json_decref(body);
		clock_gettime(CLOCK_MONOTONIC, &t);
		t.tv_nsec += 50 * 1000000;
		t.tv_sec += t.tv_nsec / 1000000000;
		t.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&store_changed, &store_lock, &t);
	}
	pthread_mutex_unlock(&store_lock);
	if (!turned_away)
		return answer_store(fd, 200, body);
	json_decref(body);
	turned_away_calls[host]++;
	return answer_store(fd, 503, NULL);
}

static int64_t rev_of(const char *key)
{
	const struct item *i = find_item(key);

	return i ? i->rev : 0;
}

static int64_t member(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

/* The conditions that do not hold; NULL: all do. */
static json_t *failed_conditions(const json_t *expect)
{
	json_t *list = json_array();
	int is_failed = 0;
	size_t n;

	for (n = 0; n < json_array_size(expect); n++) {
		const json_t *row = json_array_get(expect, n);
		const char *key =
			json_string_value(json_object_get(row, "key"));
		const struct item *i = find_item(key);

		is_failed |= rev_of(key) != member(row, "rev");
		if (i)
			json_array_append_new(list,
					      item_json(key, i->value, i->rev,
							i->created, i->lease));
	}
	if (is_failed)
		return json_pack("{s:o}", "items", list);
	json_decref(list);
	return NULL;
}

static int has_lease(int64_t id)
{
	int n;

	for (n = 0; n < LEASES_MAX; n++) {
		if (leases[n].id == id)
			return 1;
	}
	return 0;
}

static int txn(int fd, const char *text)
{
	json_t *doc = json_loads(text, 0, NULL);
	const json_t *writes = json_object_get(doc, "writes");
	const json_t *removed = json_object_get(doc, "delete");
	json_t *body;
	int status = 200;
	size_t n;

	pthread_mutex_lock(&store_lock);
	end_leases_locked();
	body = failed_conditions(json_object_get(doc, "expect"));
	if (body)
		status = 412;
	for (n = 0; status == 200 && n < json_array_size(writes); n++) {
		int64_t lease = member(json_array_get(writes, n), "lease");

		if (lease && !has_lease(lease))
			status = 404;
	}
	if (status == 200)
		store_rev++;
	for (n = 0; status == 200 && n < json_array_size(writes); n++) {
		const json_t *w = json_array_get(writes, n);
		char *value = from_base64(
			json_string_value(json_object_get(w, "value")));

		put_locked(json_string_value(json_object_get(w, "key")), value,
			   member(w, "lease"));
		free(value);
	}
	for (n = 0; status == 200 && n < json_array_size(removed); n++)
		delete_locked(json_string_value(json_array_get(removed, n)));
	if (status == 200)
		body = json_pack("{s:I}", "rev", (json_int_t)store_rev);
	pthread_mutex_unlock(&store_lock);
	json_decref(doc);
	return answer_store(fd, status, body);
}

static int grant_lease(int fd, const char *text)
{
	json_t *doc = json_loads(text, 0, NULL);
	double ttl_ms = (double)member(doc, "ttlMs");
	int64_t id = 0;
	int n;

	pthread_mutex_lock(&store_lock);
	end_leases_locked();
	for (n = 0; n < LEASES_MAX && !id; n++) {
		if (leases[n].id)
			continue;
		id = ++last_lease;
		leases[n] = (struct lease){ id, ttl_ms, rig_ms() + ttl_ms };
	}
	pthread_mutex_unlock(&store_lock);
	json_decref(doc);
	return answer_store(fd, 200,
			    json_pack("{s:I,s:I}", "lease", (json_int_t)id,
				      "ttlMs", (json_int_t)ttl_ms));
}

static int renew_lease(int fd, int64_t id)
{
	int status = 404;
	int n;

	pthread_mutex_lock(&store_lock);
	end_leases_locked();
	for (n = 0; n < LEASES_MAX; n++) {
		if (leases[n].id != id)
			continue;
		leases[n].ends_ms = rig_ms() + leases[n].ttl_ms;
		status = 200;
	}
	pthread_mutex_unlock(&store_lock);
	return answer_store(fd, status, NULL);
}

static int serve_store_call(int fd, int host, const struct message *m)
{
	const char *target = strchr(m->head, ' ') + 1;
	char a[256];
	char b[256];
	json_t *body = NULL;
	int status = 200;

	if (is_turned_away[host]) {
		turned_away_calls[host]++;
		return answer_store(fd, 503, NULL);
	}
	if (strncmp(target, "/api/kv-watch?", 14) == 0)
		return watch(fd, host, target);
	if (strncmp(target, "/api/kv-txn", 11) == 0)
		return txn(fd, m->body);
	if (strncmp(target, "/api/kv-keep/", 13) == 0)
		return renew_lease(fd, strtoll(target + 13, NULL, 10));
	if (strncmp(target, "/api/kv-lease-end/", 18) == 0)
		return answer_store(fd, 200, NULL);
	if (strncmp(target, "/api/kv-lease", 13) == 0)
		return grant_lease(fd, m->body);
	pthread_mutex_lock(&store_lock);
	end_leases_locked();
	if (strncmp(target, "/api/kv-range?", 14) == 0) {
		query(target, "prefix", a, sizeof(a));
		query(target, "after", b, sizeof(b));
		body = range_locked(a, b);
	} else {
		const struct item *i;

		query(target, "key", a, sizeof(a));
		i = find_item(a);
		if (i)
			body = item_json(a, i->value, i->rev, i->created,
					 i->lease);
		else
			status = 404;
	}
	pthread_mutex_unlock(&store_lock);
	return answer_store(fd, status, body);
}

struct accepted {
	int fd;
	int host;
	struct searcher *searcher;
};

static void *store_connection(void *ctx)
{
	struct accepted *a = ctx;
	struct message *m = calloc(1, sizeof(*m));

	while (read_message(a->fd, m) && serve_store_call(a->fd, a->host, m))
		;
	close(a->fd);
	free(m->body);
	free(m);
	free(a);
	return NULL;
}

static int store_fds[HOSTS_MAX];

static void *store_listener(void *ctx)
{
	int host = (int)(intptr_t)ctx;

	for (;;) {
		struct accepted *a = calloc(1, sizeof(*a));
		int one = 1;

		a->fd = accept4(store_fds[host], NULL, NULL, SOCK_CLOEXEC);
		a->host = host;
		if (a->fd < 0)
			return NULL;
		setsockopt(a->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		start_thread(store_connection, a);
	}
}

/* Removes the keys of leases that have run out. */
static void *lease_keeper(void *ctx)
{
	for (;;) {
		pthread_mutex_lock(&store_lock);
		end_leases_locked();
		pthread_mutex_unlock(&store_lock);
		rig_sleep(50);
	}
	return NULL;
}

void store_start(void)
{
	pthread_condattr_t attr;
	char address[24];
	int i;

	events = calloc(EVENTS_MAX, sizeof(events[0]));
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&store_changed, &attr);
	for (i = 0; i < HOSTS_MAX; i++) {
		make_address(address, 100 + i);
		store_fds[i] = listen_on(address, STORE_PORT, NULL);
		start_thread(store_listener, (void *)(intptr_t)i);
	}
	start_thread(lease_keeper, NULL);
}

/* Searchers */

static void add_run(struct searcher *s, const char *id, int *index)
{
	pthread_mutex_lock(&s->lock);
	s->runs = realloc(s->runs, sizeof(s->runs[0]) * (size_t)(s->run_count + 1));
	*index = s->run_count;
	s->runs[s->run_count] = (struct run){ .at_ms = rig_ms() };
	snprintf(s->runs[s->run_count].id, sizeof(s->runs[0].id), "%s", id);
	s->run_count++;
	pthread_mutex_unlock(&s->lock);
	record("searcher %s runs %s", s->id, id);
}

static int serve_request(struct searcher *s, int fd, const struct message *m)
{
	char expected[128];
	char id[128];
	char text[512];
	int index;

	field(m, "Cowslippoint-Request-Id", id, sizeof(id));
	if (field(m, "Cowslippoint-Expect-Instance", expected,
		  sizeof(expected)) &&
	    strcmp(expected, s->id) != 0) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 421 X\r\nCowslippoint-Request-Id: %s\r\n"
			 "Content-Length: 0\r\n\r\n",
			 id);
		return send_all(fd, text, strlen(text));
	}
	add_run(s, id, &index);
	rig_sleep(s->work_ms);
	if (s->has_ended)
		return 0;
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nCowslippoint-Request-Id: %s\r\n"
		 "Cowslippoint-Server-Stamp: %s.%s\r\nContent-Length: 5\r\n\r\n"
		 "done\n",
		 id, s->id, id);
	if (!send_all(fd, text, strlen(text)))
		return 0;
	s->runs[index].is_answered = 1;
	return 1;
}

static void *searcher_connection(void *ctx)
{
	struct accepted *a = ctx;
	struct message *m = calloc(1, sizeof(*m));

	while (read_message(a->fd, m) && serve_request(a->searcher, a->fd, m))
		;
	shutdown(a->fd, SHUT_RDWR);
	free(m->body);
	free(m);
	free(a);
	return NULL;
}

static void *searcher_listener(void *ctx)
{
	struct searcher *s = ctx;

	for (;;) {
		struct accepted *a = calloc(1, sizeof(*a));
		int one = 1;

		a->fd = accept4(s->listen_fd, NULL, NULL, SOCK_CLOEXEC);
		a->searcher = s;
		if (a->fd < 0)
			return NULL;
		setsockopt(a->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_mutex_lock(&s->lock);
		s->fds = realloc(s->fds, sizeof(int) * (size_t)(s->fd_count + 1));
		s->fds[s->fd_count++] = a->fd;
		pthread_mutex_unlock(&s->lock);
		start_thread(searcher_connection, a);
	}
}

static void report(struct searcher *s)
{
	char key[128];
	char json[512];
	char address[24];

	make_address(address, 200);
	snprintf(key, sizeof(key), "servers/%s", s->id);
	snprintf(json, sizeof(json),
		 "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"capacity\":4,\"phase\":\"ready\","
		 "\"warmupLeftMs\":0,\"seq\":%lld,\"born\":%lld}",
		 s->service, address, s->port, s->zone, (long long)++s->seq,
		 (long long)s->born_ms);
	store_put(key, json);
}

static void *searcher_heartbeat(void *ctx)
{
	struct searcher *s = ctx;

	for (;;) {
		rig_sleep(HEARTBEAT_MS);
		pthread_mutex_lock(&s->lock);
		if (s->is_beating)
			report(s);
		pthread_mutex_unlock(&s->lock);
	}
	return NULL;
}

struct searcher *searcher_start(const char *id, const char *service,
				int work_ms)
{
	struct searcher *s = calloc(1, sizeof(*s));
	struct timespec now;
	char address[24];

	clock_gettime(CLOCK_REALTIME, &now);
	snprintf(s->id, sizeof(s->id), "%s", id);
	snprintf(s->service, sizeof(s->service), "%s", service);
	snprintf(s->zone, sizeof(s->zone), "z1");
	s->work_ms = work_ms;
	s->born_ms = now.tv_sec * 1000LL + now.tv_nsec / 1000000;
	pthread_mutex_init(&s->lock, NULL);
	make_address(address, 200);
	s->listen_fd = listen_on(address, 0, &s->port);
	start_thread(searcher_listener, s);
	s->is_beating = 1;
	report(s);
	start_thread(searcher_heartbeat, s);
	return s;
}

void searcher_remove_entry(struct searcher *s)
{
	char key[128];

	snprintf(key, sizeof(key), "servers/%s", s->id);
	pthread_mutex_lock(&s->lock);
	s->is_beating = 0;
	store_delete(key);
	pthread_mutex_unlock(&s->lock);
	record("searcher %s leaves: its entry is removed", s->id);
}

void searcher_end(struct searcher *s)
{
	int i;

	pthread_mutex_lock(&s->lock);
	s->is_beating = 0;
	s->has_ended = 1;
	shutdown(s->listen_fd, SHUT_RDWR);
	close(s->listen_fd);
	for (i = 0; i < s->fd_count; i++)
		shutdown(s->fds[i], SHUT_RDWR);
	pthread_mutex_unlock(&s->lock);
	record("searcher %s ends", s->id);
}

/* Hosts */

const char *host_address(int host)
{
	static char text[HOSTS_MAX][24];

	make_address(text[host], 1 + host);
	return text[host];
}

static void write_settings(int host, char *path, size_t size)
{
	const char *ip = host_address(host);
	char store[24];
	FILE *f;

	make_address(store, 100 + host);
	snprintf(path, size, "%s/host-%d.json", temp_folder, host);
	f = fopen(path, "w");
	if (!f)
		cannot_run("cannot write %s", path);
	fprintf(f,
		"{\"host\":\"front-z1-%d\",\"data_centre\":\"z1\","
		"\"caller_address\":\"%s:%d\",\"ready_address\":\"%s:%d\","
		"\"store_address\":\"%s:%d\",\"peer_address\":\"%s:%d\","
		"\"seeds\":[\"%s:%d\"],"
		"\"store_reads_per_s\":%d,\"store_writes_per_s\":%d,"
		"\"descriptors\":4100,\"memory_mb\":260,\"core_share\":0.25,"
		"\"link_mbps\":200.0,\"grace_s\":%d,\"config_apply_ms\":%d,"
		"\"drain_ms\":%d,\"retry_ratio\":0.2,\"canary_share\":0.1,"
		"\"retry_slack\":%d}\n",
		host, ip, FRONT_PORT, ip, READY_PORT, store, STORE_PORT, ip,
		PEER_PORT, host_address(0), PEER_PORT, STORE_READS_PER_S,
		STORE_WRITES_PER_S, GRACE_S, APPLY_MS, DRAIN_MS, RETRY_SLACK);
	fclose(f);
}

void host_start(int host)
{
	char path[256];
	char log[256];
	pid_t pid;
	int fd;

	write_settings(host, path, sizeof(path));
	snprintf(log, sizeof(log), "%s/host-%d.log", temp_folder, host);
	pid = fork();
	if (pid < 0)
		cannot_run("cannot fork");
	if (pid == 0) {
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("COWSLIPPOINT_CONFIG", path, 1);
		execl("target/cowslippoint", "target/cowslippoint", "gateway",
		      (char *)NULL);
		_exit(127);
	}
	hosts[host] = pid;
	record("host %d started", host);
}

void host_signal(int host, int signal_number)
{
	record("signal %d to host %d", signal_number, host);
	kill(hosts[host], signal_number);
}

int host_is_running(int host)
{
	if (hosts[host] > 0 && waitpid(hosts[host], NULL, WNOHANG) != 0) {
		record("host %d has ended", host);
		hosts[host] = 0;
	}
	return hosts[host] > 0;
}

int host_wait_end(int host, int ms)
{
	double until_ms = rig_ms() + ms;

	while (host_is_running(host) && rig_ms() < until_ms)
		rig_sleep(5);
	return !host_is_running(host);
}

static struct answer call_at(const char *address, int port, const char *text,
			     size_t len, int wait_ms)
{
	struct timeval t = { wait_ms / 1000, wait_ms % 1000 * 1000 };
	struct message *m = calloc(1, sizeof(*m));
	struct answer a = { 0 };
	int fd = connect_to(address, port);

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	if (fd >= 0 && send_all(fd, text, len) && read_message(fd, m)) {
		a.status = atoi(m->head + strlen("HTTP/1.1 "));
		a.body_bytes = m->body_bytes;
		field(m, "Cowslippoint-Server-Stamp", a.stamp, sizeof(a.stamp));
	}
	if (fd >= 0)
		close(fd);
	free(m->body);
	free(m);
	return a;
}

int host_is_ready(int host)
{
	static const char text[] = "GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n";

	return call_at(host_address(host), READY_PORT, text, strlen(text), 1000)
		       .status == 200;
}

void host_wait_ready(int host, int ms)
{
	double until_ms = rig_ms() + ms;

	while (!host_is_ready(host)) {
		if (rig_ms() > until_ms || !host_is_running(host))
			cannot_run("host %d is not ready", host);
		rig_sleep(20);
	}
	record("host %d is ready", host);
}

struct answer client_call(int host, const char *method, const char *path,
			  const char *id, const char *body, int deadline_ms)
{
	char text[4096];

	snprintf(text, sizeof(text),
		 "%s %s HTTP/1.1\r\nHost: files.example\r\n"
		 "Cowslippoint-Request-Id: %s\r\n"
		 "Cowslippoint-Deadline-Ms: %d\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 method, path, id, deadline_ms, strlen(body), body);
	return call_at(host_address(host), FRONT_PORT, text, strlen(text),
		       deadline_ms + 1000);
}
