/*
 * A searcher of a shard turns a request away, and a second copy of that answer
 * comes late, at the point where the next response is expected. Neither it nor
 * the answers of parts carry a request ID (PROTOCOL.md). A caller must not get
 * the records of another request.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define SHARDS 2
#define REQUESTS 500
/* Clients, each with one request at a time. */
#define CLIENTS 3
#define GAP_MS 30
/* One request in 50 is turned away, and that answer is given twice. */
#define COPY_EVERY 50
#define WORK_MS 20
#define RECORD_BYTES 16

static int copies;
static int wrong;
static int sent;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* The one record of a shard for a request: the shard and the request's ID. */
static void make_record(char out[RECORD_BYTES + 1], int shard, const char *id)
{
	snprintf(out, RECORD_BYTES + 1, "%d%-15.15s", shard, id);
}

static int make_answer(char *out, size_t size, int shard, const char *id)
{
	char record[RECORD_BYTES + 1];

	make_record(record, shard, id);
	return snprintf(out, size,
			"HTTP/1.1 200 OK\r\n"
			"Cowslippoint-Server-Stamp: s%d.%s\r\n"
			"Content-Length: %d\r\n\r\n%s",
			shard, id, RECORD_BYTES, record);
}

struct connection {
	int fd;
	int shard;
};

static void *searcher_connection(void *arg)
{
	static const char shed[] = "HTTP/1.1 503 Service Unavailable\r\n"
				   "Cowslippoint-Not-Executed: 1\r\n"
				   "Content-Length: 0\r\n\r\n";
	struct connection *c = arg;
	struct rig_message *m = calloc(1, sizeof(*m));
	int has_copy = 0;

	while (rig_read_head(c->fd, m, 60000) == 1) {
		char id[80] = "";
		char text[400];
		int n;

		rig_header(m, "Cowslippoint-Request-Id", id, sizeof(id));
		rig_free(m);
		/* Where the next answer is expected. */
		if (has_copy) {
			rig_log("searcher of shard %d: the second copy comes "
				"while %s waits",
				c->shard, id);
			rig_write(c->fd, shed, strlen(shed));
			has_copy = 0;
		}
		if (atoi(id + 1) % COPY_EVERY == c->shard) {
			rig_log("searcher of shard %d: turns %s away%s",
				c->shard, id,
				rig_trouble ? ", a copy will follow" : "");
			rig_write(c->fd, shed, strlen(shed));
			has_copy = rig_trouble;
			copies += rig_trouble;
			continue;
		}
		rig_log("searcher of shard %d: runs %s", c->shard, id);
		rig_sleep_ms(WORK_MS);
		n = make_answer(text, sizeof(text), c->shard, id);
		rig_write(c->fd, text, (size_t)n);
	}
	rig_free(m);
	free(m);
	close(c->fd);
	free(c);
	return NULL;
}

struct searcher {
	int listener;
	int shard;
};

static void *searcher_main(void *arg)
{
	const struct searcher *s = arg;

	for (;;) {
		struct connection *c = calloc(1, sizeof(*c));
		int one = 1;

		c->fd = accept(s->listener, NULL, NULL);
		setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c->shard = s->shard;
		if (c->fd >= 0)
			rig_thread(searcher_connection, c);
		else
			free(c);
	}
	return NULL;
}

/* 1 if one of the signatures in @stamps is not one for request @id. */
static int has_foreign(char *stamps, const char *id)
{
	char *save = NULL;
	char *at;

	for (at = strtok_r(stamps, ", ", &save); at;
	     at = strtok_r(NULL, ", ", &save)) {
		if (strlen(at) < 3 || strcmp(at + 3, id) != 0)
			return 1;
	}
	return 0;
}

/* Asks for all parts; 0 if there is no answer. */
static int ask(int fd, int number)
{
	struct rig_message *m = calloc(1, sizeof(*m));
	char id[32];
	char head[400];
	char stamps[400] = "";
	char copy[400];
	int ok = 0;
	int n;

	snprintf(id, sizeof(id), "q%d", number);
	n = snprintf(head, sizeof(head),
		     "GET /p/%d HTTP/1.1\r\nHost: sweep.example\r\n"
		     "Cowslippoint-Request-Id: %s\r\n"
		     "Cowslippoint-Deadline-Ms: 1000\r\n\r\n",
		     number, id);
	rig_log("client: sends %s", id);
	rig_write(fd, head, (size_t)n);
	if (rig_read_head(fd, m, 3000) == 1 && rig_read_body(fd, m, 1000)) {
		ok = 1;
		rig_header(m, "Cowslippoint-Part-Stamps", stamps,
			   sizeof(stamps));
		strcpy(copy, stamps);
		if (rig_status(m) == 200 && has_foreign(copy, id)) {
			rig_log("client: WRONG: %s gets the parts '%s' and "
				"the records '%s'",
				id, stamps, m->body);
			pthread_mutex_lock(&lock);
			wrong++;
			pthread_mutex_unlock(&lock);
		} else {
			rig_log("client: %s is answered %d, parts '%s'", id,
				rig_status(m), stamps);
		}
	}
	rig_free(m);
	free(m);
	return ok;
}

static void *client_main(void *arg)
{
	int fd = -1;

	for (;;) {
		int number;

		pthread_mutex_lock(&lock);
		number = sent < REQUESTS ? ++sent : 0;
		pthread_mutex_unlock(&lock);
		if (!number)
			break;
		if (fd < 0)
			fd = rig_connect(rig_gateway_port);
		if (!ask(fd, number)) {
			rig_log("client: q%d has no answer", number);
			close(fd);
			fd = -1;
		}
		rig_sleep_ms(GAP_MS);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	int i;

	rig_init(argv[1]);
	rig_store_start();
	for (i = 0; i < SHARDS; i++) {
		struct searcher *s = calloc(1, sizeof(*s));
		char id[16];
		char service[16];
		uint16_t port = 0;

		s->shard = i;
		s->listener = rig_listen(&port);
		snprintf(id, sizeof(id), "i-%d", i);
		snprintf(service, sizeof(service), "shard%d", i);
		rig_thread(searcher_main, s);
		rig_put_searcher(id, service, port, 1);
	}
	rig_store_put("op/config",
		      "{\"version\":7,\"routes\":[{\"name\":\"r1\","
		      "\"host\":\"sweep.example\",\"prefix\":\"/p/\","
		      "\"type\":\"idempotent\",\"timeoutMs\":1000,\"goalMs\":"
		      "100,"
		      "\"priority\":1,\"gather\":[\"shard0\",\"shard1\"],"
		      "\"attempts\":2,\"topK\":50,\"minRequired\":0.89}],"
		      "\"services\":[{\"name\":\"shard0\","
		      "\"healthPath\":\"/healthz\",\"maxConns\":26,"
		      "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
		      "\"warmupPerS\":0.0},{\"name\":\"shard1\","
		      "\"healthPath\":\"/healthz\",\"maxConns\":26,"
		      "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
		      "\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":"
		      "16384,"
		      "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
		      "\"idleTimeoutMs\":15000}}");
	rig_gateway_start();
	for (i = 0; i < CLIENTS; i++)
		rig_thread(client_main, NULL);
	while (sent < REQUESTS)
		rig_sleep_ms(50);
	rig_sleep_ms(2000);
	rig_log("%d requests, %d second copies, %d wrong answers: rule MIXED "
		"%s",
		REQUESTS, copies, wrong, wrong ? "is broken" : "held");
	rig_end();
	return wrong ? RIG_BROKEN : RIG_HELD;
}
