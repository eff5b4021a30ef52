#define _GNU_SOURCE
#include "rig-2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define METRICS_PORT 9464
#define START_MS 15000

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec started;
/* Addresses of the hosts; the store and the searchers use the first. */
static char addresses[HOSTS_MAX][64];
static const char *const address = addresses[0];
static const char *const store_address = addresses[0];
static char work_dir[128];
static pid_t hosts[HOSTS_MAX] = { -1, -1 };
static uint16_t store_port;
static uint16_t front_port;
static uint16_t ready_port;
static uint16_t peer_port;

double rig_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - started.tv_sec) * 1e3 +
	       (double)(now.tv_nsec - started.tv_nsec) / 1e6;
}

void rig_sleep(double ms)
{
	struct timespec t = { (time_t)(ms / 1e3),
			      (long)((ms - 1e3 * (double)(time_t)(ms / 1e3)) *
				     1e6) };

	while (nanosleep(&t, &t) < 0 && errno == EINTR)
		;
}

int rig_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

static void record_line(const char *fmt, va_list ap)
{
	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%10.1f ms  ", rig_ms());
	vfprintf(record_file, fmt, ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void record(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	record_line(fmt, ap);
	va_end(ap);
}

void cannot_run(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	record_line(fmt, ap);
	va_end(ap);
	record("the case could not run");
	exit(CANNOT_RUN);
}

static void *must(void *p)
{
	if (!p)
		abort();
	return p;
}

static int listen_at(const char *at, uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(port) };
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, at, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 &&
	    listen(fd, 1024) == 0)
		return fd;
	close(fd);
	return -1;
}

static int listen_on(uint16_t port)
{
	return listen_at(address, port);
}

static uint16_t port_of(int fd)
{
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);

	getsockname(fd, (struct sockaddr *)&sa, &len);
	return ntohs(sa.sin_port);
}

uint16_t rig_free_port(void)
{
	int fd = listen_on(0);
	uint16_t port = fd < 0 ? 0 : port_of(fd);

	if (fd < 0)
		cannot_run("no free port");
	close(fd);
	return port;
}

void rig_init(const char *folder)
{
	char path[512];
	unsigned n = 2 * (unsigned)getpid();
	int found = 0;
	int i;

	clock_gettime(CLOCK_MONOTONIC, &started);
	signal(SIGPIPE, SIG_IGN);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	if (!record_file)
		exit(CANNOT_RUN);
	/* The metrics page has a fixed port, so the address has to be free. */
	for (i = 0; i < 50 && found < HOSTS_MAX; i++, n++) {
		int fd;

		snprintf(addresses[found], sizeof(addresses[0]), "127.%u.%u.%u",
			 20 + n % 200, n / 200 % 250, 1 + n / 50000 % 250);
		fd = listen_at(addresses[found], METRICS_PORT);
		if (fd >= 0)
			close(fd);
		found += fd >= 0;
	}
	if (found < HOSTS_MAX)
		cannot_run("no loopback address with port %d free",
			   METRICS_PORT);
	/* run.sh makes the folder and removes it. */
	snprintf(work_dir, sizeof(work_dir), "%s",
		 getenv("RIG_DIR") ? getenv("RIG_DIR") : "/tmp");
	record("%s, address %s, TROUBLE=%d", folder, address, rig_trouble());
}

const char *rig_address(void)
{
	return address;
}

/* A server: one thread for each connection. */

typedef void serve_fn(int fd, void *ctx);

struct listener {
	int fd;
	serve_fn *serve;
	void *ctx;
};

static void start_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, fn, arg) != 0)
		cannot_run("no thread");
	pthread_attr_destroy(&attr);
}

struct served {
	int fd;
	serve_fn *serve;
	void *ctx;
};

/* Connections that are open, and the listeners' contexts, for stop_serving(). */
static pthread_mutex_t served_lock = PTHREAD_MUTEX_INITIALIZER;
static struct served served_list[4096];
static struct listener *listeners[64];

static void note_served(const struct served *s, int is_open)
{
	pthread_mutex_lock(&served_lock);
	if (s->fd < 4096)
		served_list[s->fd] = is_open ? *s : (struct served){ 0 };
	pthread_mutex_unlock(&served_lock);
}

/* Ends the listener and the connections of @ctx as the end of a process does. */
static void stop_serving(const void *ctx)
{
	size_t i;

	pthread_mutex_lock(&served_lock);
	for (i = 0; i < 64; i++) {
		if (listeners[i] && listeners[i]->ctx == ctx)
			shutdown(listeners[i]->fd, SHUT_RDWR);
	}
	for (i = 0; i < 4096; i++) {
		if (served_list[i].serve && served_list[i].ctx == ctx)
			shutdown(served_list[i].fd, SHUT_RDWR);
	}
	pthread_mutex_unlock(&served_lock);
}

static void *serve_thread(void *arg)
{
	struct served s = *(struct served *)arg;

	free(arg);
	note_served(&s, 1);
	s.serve(s.fd, s.ctx);
	note_served(&s, 0);
	close(s.fd);
	return NULL;
}

static void *accept_thread(void *arg)
{
	struct listener *l = arg;

	for (;;) {
		int fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
		struct served *s;
		int one = 1;

		if (fd < 0 && errno == EINVAL) {
			close(l->fd);
			return NULL;
		}
		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		s = must(malloc(sizeof(*s)));
		*s = (struct served){ fd, l->serve, l->ctx };
		start_thread(serve_thread, s);
	}
	return NULL;
}

static uint16_t serve_port(serve_fn *serve, void *ctx)
{
	static size_t listener_count;
	struct listener *l = must(calloc(1, sizeof(*l)));

	if (listener_count == 64)
		cannot_run("too many listeners");
	listeners[listener_count++] = l;
	*l = (struct listener){ listen_on(0), serve, ctx };
	if (l->fd < 0)
		cannot_run("cannot listen");
	start_thread(accept_thread, l);
	return port_of(l->fd);
}

static int write_all(int fd, const void *data, size_t len)
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

/* Bytes of a connection that were received and not used yet. */
struct input {
	int fd;
	char *data;
	size_t len;
	size_t cap;
};

static int fill(struct input *in)
{
	ssize_t n;

	if (in->len + 65536 > in->cap) {
		in->cap = 2 * in->cap + 65536;
		in->data = must(realloc(in->data, in->cap + 1));
	}
	do
		n = recv(in->fd, in->data + in->len, 65536, 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return 0;
	in->len += (size_t)n;
	in->data[in->len] = '\0';
	return 1;
}

static void consume(struct input *in, size_t n)
{
	memmove(in->data, in->data + n, in->len - n);
	in->len -= n;
}

/*
 * Length of the head at the start of @data with its empty line, or 0. A line
 * ends with LF, and a CR before it belongs to the end (RFC 9112, 2.2).
 */
static size_t head_length(const char *data, size_t len)
{
	size_t line = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		if (data[i] != '\n')
			continue;
		if (i == line || (i == line + 1 && data[line] == '\r'))
			return i + 1;
		line = i + 1;
	}
	return 0;
}

/* Copies the value of field @name of a head to @out; returns 0 without it. */
static int head_field(const char *head, size_t len, const char *name, char *out,
		      size_t size)
{
	size_t name_len = strlen(name);
	size_t at = 0;

	out[0] = '\0';
	while (at < len) {
		const char *end = memchr(head + at, '\n', len - at);
		size_t line = end ? (size_t)(end - head) - at : len - at;
		size_t n;

		if (line > name_len && head[at + name_len] == ':' &&
		    strncasecmp(head + at, name, name_len) == 0) {
			const char *v = head + at + name_len + 1;

			n = line - name_len - 1;
			while (n && (*v == ' ' || *v == '\t'))
				v++, n--;
			while (n && strchr(" \t\r", v[n - 1]))
				n--;
			if (n >= size)
				n = size - 1;
			memcpy(out, v, n);
			out[n] = '\0';
			return 1;
		}
		at += line + 1;
	}
	return 0;
}

uint64_t hash_bytes(const void *data, size_t len)
{
	const unsigned char *p = data;
	uint64_t h = 1469598103934665603ULL;

	while (len--)
		h = (h ^ *p++) * 1099511628211ULL;
	return h;
}

/* The store. */

struct item {
	char *key;
	char *value;
	uint64_t rev;
	uint64_t created;
	uint64_t lease;
};

struct event {
	char *key;
	/* NULL: deleted. */
	char *value;
	uint64_t rev;
	uint64_t created;
	uint64_t lease;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;
static struct item *items;
static size_t item_count;
static struct event *events;
static size_t event_count;
static uint64_t store_rev = 1;
static struct {
	uint64_t id;
	double until_ms;
	int ttl_ms;
} leases[64];
static uint64_t last_lease;

static char *base64(const char *data, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	char *out = must(malloc(4 * (len / 3 + 1) + 1));
	size_t n = 0;
	size_t i;

	for (i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)data[i] << 16;

		if (i + 1 < len)
			v |= (uint32_t)(unsigned char)data[i + 1] << 8;
		if (i + 2 < len)
			v |= (unsigned char)data[i + 2];
		out[n++] = digits[v >> 18];
		out[n++] = digits[v >> 12 & 63];
		out[n++] = i + 1 < len ? digits[v >> 6 & 63] : '=';
		out[n++] = i + 2 < len ? digits[v & 63] : '=';
	}
	out[n] = '\0';
	return out;
}

static struct item *find_item(const char *key)
{
	size_t i;

	for (i = 0; i < item_count; i++) {
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	}
	return NULL;
}

static void add_event(const char *key, const char *value, uint64_t created,
		      uint64_t lease)
{
	events = must(realloc(events, (event_count + 1) * sizeof(*events)));
	events[event_count++] =
		(struct event){ must(strdup(key)),
				value ? must(strdup(value)) : NULL, store_rev,
				created, lease };
}

/* @value is in base64. */
static void write_item(const char *key, const char *value, uint64_t lease)
{
	struct item *it = find_item(key);
	size_t at;

	store_rev++;
	if (!it) {
		items = must(realloc(items, (item_count + 1) * sizeof(*items)));
		for (at = item_count;
		     at > 0 && strcmp(items[at - 1].key, key) > 0; at--)
			items[at] = items[at - 1];
		item_count++;
		it = &items[at];
		*it = (struct item){ .key = must(strdup(key)),
				     .created = store_rev };
	} else {
		free(it->value);
	}
	it->value = must(strdup(value));
	it->rev = store_rev;
	it->lease = lease;
	add_event(key, value, it->created, lease);
}

static void remove_item(const char *key)
{
	struct item *it = find_item(key);

	if (!it)
		return;
	store_rev++;
	free(it->key);
	free(it->value);
	memmove(it, it + 1,
		(size_t)(items + item_count - it - 1) * sizeof(*it));
	item_count--;
	add_event(key, NULL, 0, 0);
}

void store_put(const char *key, const char *value)
{
	char *text = base64(value, strlen(value));

	pthread_mutex_lock(&store_lock);
	write_item(key, text, 0);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	free(text);
}

void store_delete(const char *key)
{
	pthread_mutex_lock(&store_lock);
	remove_item(key);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

void store_put_config(int version, const char *type, int body_bytes_max)
{
	char text[2048];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[{\"name\":\"r-files\","
		 "\"host\":\"files.example\",\"prefix\":\"/files/\","
		 "\"type\":\"%s\",\"timeoutMs\":4000,\"goalMs\":1000,"
		 "\"priority\":1,\"service\":\"files\",\"attempts\":2},"
		 "{\"name\":\"r-notes\",\"host\":\"files.example\","
		 "\"prefix\":\"/notes/\",\"type\":\"idempotent\","
		 "\"timeoutMs\":4000,\"goalMs\":1000,\"priority\":1,"
		 "\"service\":\"notes\",\"attempts\":2}],"
		 "\"services\":[{\"name\":\"notes\","
		 "\"healthPath\":\"/healthz\",\"maxConns\":110,"
		 "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
		 "\"warmupPerS\":0.0},{\"name\":\"files\","
		 "\"healthPath\":\"/healthz\",\"maxConns\":110,"
		 "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
		 "\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
		 "\"maxBodyBytes\":%d,\"headerTimeoutMs\":3000,"
		 "\"idleTimeoutMs\":15000}}",
		 version, type, body_bytes_max);
	store_put("op/config", text);
	record("the store has acknowledged configuration %d: route /files/ "
	       "%s, maxBodyBytes %d",
	       version, type, body_bytes_max);
}

static json_t *item_json(const char *key, const char *value, uint64_t rev,
			 uint64_t created, uint64_t lease)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value", value,
			 "rev", (json_int_t)rev, "created", (json_int_t)created,
			 "lease", (json_int_t)lease);
}

static void reply(int fd, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
	char head[160];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 status, strlen(text));

	if (write_all(fd, head, (size_t)n))
		write_all(fd, text, strlen(text));
	free(text);
	json_decref(body);
}

/* Copies the decoded value of @name in the query of @path; 0 without it. */
static int query_value(const char *path, const char *name, char *out,
		       size_t size)
{
	const char *at = strchr(path, '?');
	size_t len = strlen(name);
	size_t n = 0;

	out[0] = '\0';
	while (at) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=')
			break;
		at = strchr(at, '&');
	}
	if (!at)
		return 0;
	for (at += len + 1; *at && *at != '&' && n + 1 < size; at++) {
		char hex[3] = { 0 };

		if (*at == '%' && at[1] && at[2]) {
			memcpy(hex, at + 1, 2);
			out[n++] = (char)strtol(hex, NULL, 16);
			at += 2;
		} else {
			out[n++] = *at;
		}
	}
	out[n] = '\0';
	return 1;
}

static void serve_range(int fd, const char *path)
{
	char prefix[256];
	char after[256];
	json_t *list = json_array();
	size_t i;
	int more = 0;

	query_value(path, "prefix", prefix, sizeof(prefix));
	query_value(path, "after", after, sizeof(after));
	pthread_mutex_lock(&store_lock);
	for (i = 0; i < item_count; i++) {
		if (strncmp(items[i].key, prefix, strlen(prefix)) != 0 ||
		    (after[0] && strcmp(items[i].key, after) <= 0))
			continue;
		if (json_array_size(list) == 500) {
			more = 1;
			break;
		}
		json_array_append_new(list,
				      item_json(items[i].key, items[i].value,
						items[i].rev, items[i].created,
						items[i].lease));
	}
	list = json_pack("{s:o,s:b,s:I}", "items", list, "hasMore", more,
			 "atRev", (json_int_t)store_rev);
	pthread_mutex_unlock(&store_lock);
	reply(fd, 200, list);
}

static json_t *events_after(uint64_t after, const char *prefix)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < event_count; i++) {
		const struct event *e = &events[i];

		if (e->rev <= after ||
		    strncmp(e->key, prefix, strlen(prefix)) != 0)
			continue;
		json_array_append_new(
			list,
			e->value ? item_json(e->key, e->value, e->rev,
					     e->created, e->lease)
				 : json_pack("{s:s,s:I,s:b}", "key", e->key,
					     "rev", (json_int_t)e->rev,
					     "deleted", 1));
	}
	return list;
}

static void serve_watch(int fd, const char *path)
{
	char prefix[256];
	char text[64];
	struct timespec until;
	uint64_t after;
	json_t *list;
	int wait_ms;

	query_value(path, "prefix", prefix, sizeof(prefix));
	query_value(path, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	query_value(path, "waitMs", text, sizeof(text));
	wait_ms = atoi(text);
	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000L;
	if (until.tv_nsec >= 1000000000L) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000L;
	}
	pthread_mutex_lock(&store_lock);
	list = events_after(after, prefix);
	while (!json_array_size(list) &&
	       pthread_cond_timedwait(&store_changed, &store_lock, &until) !=
		       ETIMEDOUT) {
		json_decref(list);
		list = events_after(after, prefix);
	}
	list = json_pack("{s:o,s:I}", "events", list, "atRev",
			 (json_int_t)store_rev);
	pthread_mutex_unlock(&store_lock);
	reply(fd, 200, list);
}

static void serve_key(int fd, const char *path)
{
	char key[256];
	const struct item *it;
	json_t *body = NULL;

	query_value(path, "key", key, sizeof(key));
	pthread_mutex_lock(&store_lock);
	it = find_item(key);
	if (it) {
		body = item_json(it->key, it->value, it->rev, it->created,
				 it->lease);
		json_object_set_new(body, "atRev",
				    json_integer((json_int_t)store_rev));
	}
	pthread_mutex_unlock(&store_lock);
	reply(fd, it ? 200 : 404, body);
}

static int expected(const json_t *row)
{
	const struct item *it =
		find_item(json_string_value(json_object_get(row, "key")));
	uint64_t rev = (uint64_t)json_integer_value(json_object_get(row, "re"
									 "v"));

	return it ? it->rev == rev : rev == 0;
}

static void serve_txn(int fd, const char *text, size_t len)
{
	json_t *doc = json_loadb(text, len, 0, NULL);
	json_t *found = json_array();
	json_t *row;
	size_t i;
	int holds = 1;
	uint64_t rev;

	pthread_mutex_lock(&store_lock);
	json_array_foreach(json_object_get(doc, "expect"), i, row)
	{
		const struct item *it =
			find_item(json_string_value(json_object_get(row, "ke"
									 "y")));

		holds = holds && expected(row);
		if (it)
			json_array_append_new(
				found, item_json(it->key, it->value, it->rev,
						 it->created, it->lease));
	}
	json_array_foreach(json_object_get(doc, "writes"), i, row)
	{
		if (holds)
			write_item(json_string_value(json_object_get(row, "ke"
									  "y")),
				   json_string_value(json_object_get(row, "valu"
									  "e")),
				   (uint64_t)json_integer_value(
					   json_object_get(row, "lease")));
	}
	json_array_foreach(json_object_get(doc, "delete"), i, row)
	{
		if (holds)
			remove_item(json_string_value(row));
	}
	rev = store_rev;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	json_decref(doc);
	if (holds) {
		json_decref(found);
		reply(fd, 200, json_pack("{s:I}", "rev", (json_int_t)rev));
	} else {
		reply(fd, 412, json_pack("{s:o}", "items", found));
	}
}

static void end_lease(uint64_t id)
{
	size_t i;

	for (i = 0; i < item_count;) {
		if (items[i].lease != id) {
			i++;
			continue;
		}
		remove_item(items[i].key);
	}
}

static void serve_lease(int fd, const char *text, size_t len)
{
	json_t *doc = json_loadb(text, len, 0, NULL);
	int ttl_ms = (int)json_integer_value(json_object_get(doc, "ttlMs"));
	uint64_t id;

	json_decref(doc);
	pthread_mutex_lock(&store_lock);
	id = ++last_lease;
	leases[id % 64].id = id;
	leases[id % 64].ttl_ms = ttl_ms;
	leases[id % 64].until_ms = rig_ms() + ttl_ms;
	pthread_mutex_unlock(&store_lock);
	reply(fd, 200,
	      json_pack("{s:I,s:i}", "lease", (json_int_t)id, "ttlMs", ttl_ms));
}

static void serve_keep(int fd, const char *path)
{
	uint64_t id = strtoull(strrchr(path, '/') + 1, NULL, 10);
	int found;

	pthread_mutex_lock(&store_lock);
	found = id && leases[id % 64].id == id;
	if (found)
		leases[id % 64].until_ms = rig_ms() + leases[id % 64].ttl_ms;
	pthread_mutex_unlock(&store_lock);
	reply(fd, found ? 200 : 404, NULL);
}

static void *lease_thread(void *arg)
{
	size_t i;

	for (;;) {
		rig_sleep(200);
		pthread_mutex_lock(&store_lock);
		for (i = 0; i < 64; i++) {
			if (!leases[i].id || rig_ms() < leases[i].until_ms)
				continue;
			end_lease(leases[i].id);
			leases[i].id = 0;
			pthread_cond_broadcast(&store_changed);
		}
		pthread_mutex_unlock(&store_lock);
	}
	return arg;
}

static void serve_store(int fd, void *ctx)
{
	struct input in = { .fd = fd };

	for (;;) {
		char method[16] = "";
		char path[1024] = "";
		char text[32];
		size_t head;
		size_t body = 0;

		while (!(head = head_length(in.data, in.len))) {
			if (!fill(&in))
				goto out;
		}
		sscanf(in.data, "%15s %1023s", method, path);
		if (head_field(in.data, head, "Content-Length", text,
			       sizeof(text)))
			body = strtoul(text, NULL, 10);
		while (in.len < head + body) {
			if (!fill(&in))
				goto out;
		}
		if (strncmp(path, "/api/kv-range", 13) == 0)
			serve_range(fd, path);
		else if (strncmp(path, "/api/kv-watch", 13) == 0)
			serve_watch(fd, path);
		else if (strncmp(path, "/api/kv-key", 11) == 0)
			serve_key(fd, path);
		else if (strncmp(path, "/api/kv-txn", 11) == 0)
			serve_txn(fd, in.data + head, body);
		else if (strncmp(path, "/api/kv-lease-end/", 18) == 0)
			serve_keep(fd, path);
		else if (strncmp(path, "/api/kv-lease", 13) == 0)
			serve_lease(fd, in.data + head, body);
		else if (strncmp(path, "/api/kv-keep/", 13) == 0)
			serve_keep(fd, path);
		else
			reply(fd, 404, NULL);
		consume(&in, head + body);
	}
out:
	free(in.data);
}

void store_start(void)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&store_changed, &attr);
	store_port = serve_port(serve_store, NULL);
	start_thread(lease_thread, NULL);
}

/* Searchers. */

static void add_run(struct searcher *s, const struct run *r)
{
	pthread_mutex_lock(&s->lock);
	s->runs = must(realloc(s->runs, (s->run_count + 1) * sizeof(*s->runs)));
	s->runs[s->run_count++] = *r;
	pthread_mutex_unlock(&s->lock);
}

size_t searcher_runs(struct searcher *s)
{
	size_t n;

	pthread_mutex_lock(&s->lock);
	n = s->run_count;
	pthread_mutex_unlock(&s->lock);
	return n;
}

static int refuse(int fd, int status, const char *fields)
{
	char text[256];
	int n = snprintf(text, sizeof(text),
			 "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status,
			 fields);

	return write_all(fd, text, (size_t)n);
}

/* Runs one request that was read whole; returns 0 if the connection failed. */
static int run_request(struct searcher *s, int fd, struct run *r,
		       const char *body)
{
	char head[512];
	char *answer = must(malloc(s->answer_bytes));
	int len;
	int ok;

	r->at_ms = rig_ms();
	r->body_hash = hash_bytes(body, r->body_bytes);
	add_run(s, r);
	rig_sleep(s->work_ms);
	len = snprintf(head, sizeof(head),
		       "HTTP/1.1 200 OK\r\nCowslippoint-Request-Id: %s\r\n"
		       "Cowslippoint-Server-Stamp: %s.%zu\r\n"
		       "Content-Length: %zu\r\n\r\n",
		       r->id, s->id, searcher_runs(s), s->answer_bytes);
	memset(answer, 'a' + len % 26, s->answer_bytes);
	ok = write_all(fd, head, (size_t)len) &&
	     write_all(fd, answer, s->answer_bytes);
	free(answer);
	return ok;
}

static void serve_searcher(int fd, void *ctx)
{
	struct searcher *s = ctx;
	struct input in = { .fd = fd };

	for (;;) {
		struct run r = { 0 };
		char text[128];
		char fields[128];
		size_t head;
		int ok;

		/* Empty lines before a request are skipped (RFC 9112, 2.2). */
		while (in.len && (in.data[0] == '\r' || in.data[0] == '\n'))
			consume(&in, 1);
		while (!(head = head_length(in.data, in.len))) {
			if (!fill(&in))
				goto out;
			while (in.len &&
			       (in.data[0] == '\r' || in.data[0] == '\n'))
				consume(&in, 1);
		}
		if (sscanf(in.data, "%15s %255s", r.method, r.path) != 2 ||
		    r.path[0] != '/') {
			refuse(fd, 400,
			       "Cowslippoint-Not-Executed: 1\r\n"
			       "Connection: close\r\n");
			goto out;
		}
		if (head_field(in.data, head, "Content-Length", text,
			       sizeof(text)))
			r.body_bytes = strtoul(text, NULL, 10);
		while (in.len < head + r.body_bytes) {
			if (!fill(&in))
				goto out;
		}
		if (head_field(in.data, head, "Cowslippoint-Expect-Instance",
			       text, sizeof(text)) &&
		    strcmp(text, s->id) != 0) {
			snprintf(fields, sizeof(fields),
				 "Cowslippoint-Instance-Id: %s\r\n", s->id);
			ok = refuse(fd, 421, fields);
		} else if (!head_field(in.data, head, "Cowslippoint-Request-Id",
				       r.id, sizeof(r.id))) {
			ok = refuse(fd, 400,
				    "Cowslippoint-Not-Executed: 1\r\n");
		} else {
			ok = run_request(s, fd, &r, in.data + head);
		}
		if (!ok)
			goto out;
		consume(&in, head + r.body_bytes);
	}
out:
	free(in.data);
}

void searcher_report(struct searcher *s, const char *phase)
{
	char key[128];
	char value[512];

	s->seq++;
	snprintf(key, sizeof(key), "servers/%s", s->id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"z1\","
		 "\"version\":\"v1\",\"capacity\":4,\"phase\":\"%s\","
		 "\"warmupLeftMs\":0,\"seq\":%lld,\"born\":%lld}",
		 s->service, address, s->port, phase, (long long)s->seq,
		 (long long)s->born_ms);
	store_put(key, value);
}

void searcher_stop(struct searcher *s)
{
	char key[128];

	stop_serving(s);
	snprintf(key, sizeof(key), "servers/%s", s->id);
	store_delete(key);
}

struct searcher *searcher_start(const char *id, const char *service,
				int work_ms)
{
	struct searcher *s = must(calloc(1, sizeof(*s)));
	struct timeval now;

	gettimeofday(&now, NULL);
	snprintf(s->id, sizeof(s->id), "%s", id);
	snprintf(s->service, sizeof(s->service), "%s", service);
	s->work_ms = work_ms;
	s->answer_bytes = 16;
	s->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_usec / 1000;
	pthread_mutex_init(&s->lock, NULL);
	s->port = serve_port(serve_searcher, s);
	searcher_report(s, "ready");
	return s;
}

/* The gateway. */

static void write_settings(const char *path, int host, const char *address)
{
	FILE *f = must(fopen(path, "w"));

	fprintf(f,
		"{\"host\":\"front-z1-%d\",\"data_centre\":\"z1\","
		"\"caller_address\":\"%s:%u\",\"ready_address\":\"%s:%u\","
		"\"store_address\":\"%s:%u\",\"peer_address\":\"%s:%u\","
		"\"seeds\":[\"%s:%u\"],\"store_reads_per_s\":2000,"
		"\"store_writes_per_s\":400,\"descriptors\":4100,"
		"\"core_share\":0.25,\"link_mbps\":1000.0,\"grace_s\":%d,"
		"\"config_apply_ms\":%d,\"drain_ms\":%d,\"retry_ratio\":0.2,"
		"\"canary_share\":0.1,\"retry_slack\":56}\n",
		host + 1, address, front_port, address, ready_port,
		store_address, store_port, address, peer_port, store_address,
		peer_port, GRACE_S, APPLY_MS, DRAIN_MS);
	fclose(f);
}

int host_is_ready(int host)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(ready_port) };
	static const char request[] = "GET /api/readyz HTTP/1.1\r\n"
				      "Host: ready\r\n\r\n";
	char text[64] = "";
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int ok;

	inet_pton(AF_INET, addresses[host], &sa.sin_addr);
	ok = connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 &&
	     write_all(fd, request, sizeof(request) - 1) &&
	     recv(fd, text, sizeof(text) - 1, 0) > 0 &&
	     strncmp(text, "HTTP/1.1 200", 12) == 0;
	close(fd);
	return ok;
}

static void end_hosts(void)
{
	int i;

	for (i = 0; i < HOSTS_MAX; i++) {
		if (hosts[i] > 0)
			kill(hosts[i], SIGKILL);
		if (hosts[i] > 0)
			waitpid(hosts[i], NULL, 0);
		hosts[i] = -1;
	}
}

static void prepare_hosts(void)
{
	static int is_done;
	char settings[192];
	int i;

	if (is_done)
		return;
	is_done = 1;
	front_port = rig_free_port();
	ready_port = rig_free_port();
	peer_port = rig_free_port();
	for (i = 0; i < HOSTS_MAX; i++) {
		snprintf(settings, sizeof(settings), "%s/node%d.json", work_dir,
			 i);
		write_settings(settings, i, addresses[i]);
	}
	atexit(end_hosts);
}

void host_write_settings(int host)
{
	char settings[192];

	snprintf(settings, sizeof(settings), "%s/node%d.json", work_dir, host);
	write_settings(settings, host, addresses[host]);
}

pid_t host_spawn(int host)
{
	char settings[192];
	char log[192];
	char config[224];
	char *environment[] = { config, "PATH=/usr/bin:/bin", "HOME=/tmp",
				"LANG=C", NULL };
	pid_t pid;

	prepare_hosts();
	snprintf(settings, sizeof(settings), "%s/node%d.json", work_dir, host);
	snprintf(log, sizeof(log), "%s/gateway%d.log", work_dir, host);
	snprintf(config, sizeof(config), "COWSLIPPOINT_CONFIG=%s", settings);
	pid = fork();
	if (pid == 0) {
		int fd = open(log, O_CREAT | O_WRONLY | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		signal(SIGPIPE, SIG_DFL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execle("target/cowslippoint", "target/cowslippoint", "gateway",
		       (char *)NULL, environment);
		_exit(127);
	}
	hosts[host] = pid;
	return pid;
}

int host_wait(int host)
{
	int status = 0;

	if (hosts[host] > 0)
		waitpid(hosts[host], &status, 0);
	hosts[host] = -1;
	return status;
}

void gateway_start(void)
{
	double until_ms = rig_ms() + START_MS;

	host_spawn(0);
	while (!host_is_ready(0)) {
		if (rig_ms() > until_ms)
			cannot_run("the gateway is not ready");
		rig_sleep(20);
	}
	record("the gateway is ready, process %d", (int)hosts[0]);
}

void host_signal(int host, int signal_number)
{
	if (hosts[host] > 0)
		kill(hosts[host], signal_number);
}

void gateway_signal(int signal_number)
{
	host_signal(0, signal_number);
}

double gateway_rss_mb(void)
{
	char path[64];
	long size;
	long resident = -1;
	FILE *f;

	if (hosts[0] <= 0)
		return -1;
	snprintf(path, sizeof(path), "/proc/%d/statm", (int)hosts[0]);
	f = fopen(path, "r");
	if (!f)
		return -1;
	if (fscanf(f, "%ld %ld", &size, &resident) != 2 || size == 0)
		resident = -1;
	fclose(f);
	return resident < 0
		       ? -1
		       : (double)resident * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

void gateway_kill(void)
{
	gateway_signal(SIGKILL);
	host_wait(0);
}

/* Callers. */

int caller_connect(struct caller *c)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(front_port) };
	int one = 1;

	*c = (struct caller){ .fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC,
					   0) };
	inet_pton(AF_INET, address, &sa.sin_addr);
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(c->fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return 1;
	close(c->fd);
	c->fd = -1;
	return 0;
}

int caller_send(struct caller *c, const void *data, size_t len)
{
	return write_all(c->fd, data, len);
}

static int wait_input(struct caller *c, double until_ms)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };
	double left = until_ms - rig_ms();
	struct input in = { c->fd, c->in, c->len, c->cap };
	int ok;

	if (left <= 0 || poll(&p, 1, (int)left + 1) <= 0)
		return 0;
	ok = fill(&in);
	c->in = in.data;
	c->len = in.len;
	c->cap = in.cap;
	return ok;
}

struct answer caller_read(struct caller *c, int wait_ms)
{
	double until_ms = rig_ms() + wait_ms;
	struct answer a = { 0 };
	char text[64];
	size_t head;

	while (!(head = head_length(c->in, c->len))) {
		if (!wait_input(c, until_ms)) {
			a.at_ms = rig_ms();
			return a;
		}
	}
	if (head_field(c->in, head, "Content-Length", text, sizeof(text)))
		a.body_bytes = strtoul(text, NULL, 10);
	while (c->len < head + a.body_bytes) {
		if (!wait_input(c, until_ms)) {
			a.at_ms = rig_ms();
			return a;
		}
	}
	head_field(c->in, head, "Cowslippoint-Request-Id", a.id, sizeof(a.id));
	head_field(c->in, head, "Connection", text, sizeof(text));
	a.says_close = strcasecmp(text, "close") == 0;
	a.status = atoi(c->in + 9);
	a.body_hash = hash_bytes(c->in + head, a.body_bytes);
	a.at_ms = rig_ms();
	memmove(c->in, c->in + head + a.body_bytes,
		c->len - head - a.body_bytes);
	c->len -= head + a.body_bytes;
	return a;
}

long caller_unread(const struct caller *c)
{
	struct sockaddr_in local;
	struct sockaddr_in remote;
	socklen_t len = sizeof(local);
	unsigned long rx = 0;
	long found = -1;
	char line[512];
	FILE *f = fopen("/proc/net/tcp", "r");

	getsockname(c->fd, (struct sockaddr *)&local, &len);
	len = sizeof(remote);
	getpeername(c->fd, (struct sockaddr *)&remote, &len);
	while (f && fgets(line, sizeof(line), f)) {
		unsigned a, b, ap, bp;

		/* The gateway's side: its address is the local one. */
		if (sscanf(line, " %*d: %x:%x %x:%x %*x %*x:%lx", &a, &ap, &b,
			   &bp, &rx) == 5 &&
		    a == remote.sin_addr.s_addr &&
		    ap == ntohs(remote.sin_port) &&
		    b == local.sin_addr.s_addr && bp == ntohs(local.sin_port))
			found = (long)rx;
	}
	if (f)
		fclose(f);
	return found;
}

void caller_close(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	free(c->in);
	*c = (struct caller){ .fd = -1 };
}

int request_head(char *out, size_t size, const char *method, const char *path,
		 const char *id, int deadline_ms, size_t body_bytes)
{
	int n = snprintf(out, size,
			 "%s %s HTTP/1.1\r\nHost: files.example\r\n"
			 "Cowslippoint-Request-Id: %s\r\n"
			 "Cowslippoint-Deadline-Ms: %d\r\n",
			 method, path, id, deadline_ms);

	if (body_bytes)
		n += snprintf(out + n, size - (size_t)n,
			      "Content-Length: %zu\r\n", body_bytes);
	n += snprintf(out + n, size - (size_t)n, "\r\n");
	return n;
}
