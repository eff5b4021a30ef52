/*
 * Searchers of a shard hand out second copies of their answers, late. The
 * answers of parts carry no request ID (PROTOCOL.md, "Queries over many
 * shards"). A caller must not get the records of another request.
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
/* 22 a second, the part of one of 8 machines of 180 a second. */
#define GAP_MS 45
/* One answer in 50 is given twice: x 0.02. */
#define COPY_EVERY 50
/* The copy comes this long after the answer. */
#define LATE_MS 400
#define RECORD_BYTES 16

static int copies;

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
	struct connection *c = arg;
	struct rig_message *m = calloc(1, sizeof(*m));
	char copy[400];
	int copy_len = 0;
	int64_t copy_ms = 0;

	while (rig_read_head(c->fd, m, 60000) == 1) {
		char id[80] = "";
		char text[400];
		int n;

		rig_header(m, "Cowslippoint-Request-Id", id, sizeof(id));
		rig_free(m);
		/* Where the next answer is expected. */
		if (copy_len && rig_now_ms() >= copy_ms) {
			rig_log("searcher of shard %d: the second copy of an "
				"earlier answer comes while %s waits",
				c->shard, id);
			rig_write(c->fd, copy, (size_t)copy_len);
			copy_len = 0;
		}
		n = make_answer(text, sizeof(text), c->shard, id);
		rig_write(c->fd, text, (size_t)n);
		if (rig_trouble && !copy_len &&
		    atoi(id + 1) % COPY_EVERY == c->shard) {
			rig_log("searcher of shard %d: answers %s, a copy will "
				"follow",
				c->shard, id);
			memcpy(copy, text, (size_t)n);
			copy_len = n;
			copy_ms = rig_now_ms() + LATE_MS;
			copies++;
		}
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

/* Asks for all parts; 1 if the answer is wrong, -1 if there is none. */
static int ask(int fd, int number)
{
	struct rig_message *m = calloc(1, sizeof(*m));
	char id[32];
	char head[400];
	char stamps[400] = "";
	char expected[96];
	int wrong = -1;
	int n;

	snprintf(id, sizeof(id), "q%d", number);
	n = snprintf(head, sizeof(head),
		     "GET /p/%d HTTP/1.1\r\nHost: sweep.example\r\n"
		     "Cowslippoint-Request-Id: %s\r\n"
		     "Cowslippoint-Deadline-Ms: 1000\r\n\r\n",
		     number, id);
	rig_write(fd, head, (size_t)n);
	if (rig_read_head(fd, m, 3000) == 1 && rig_read_body(fd, m, 1000)) {
		wrong = 0;
		rig_header(m, "Cowslippoint-Part-Stamps", stamps,
			   sizeof(stamps));
		snprintf(expected, sizeof(expected), "s0.%s, s1.%s", id, id);
		if (rig_status(m) == 200 && strcmp(stamps, expected) != 0) {
			rig_log("client: %s gets the parts '%s' and the "
				"records '%s'",
				id, stamps, m->body);
			wrong = 1;
		}
	}
	rig_free(m);
	free(m);
	return wrong;
}

int main(int argc, char **argv)
{
	int wrong = 0;
	int fd = -1;
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
	rig_store_put(
		"op/config",
		"{\"version\":7,\"routes\":[{\"name\":\"r1\","
		"\"host\":\"sweep.example\",\"prefix\":\"/p/\","
		"\"type\":\"idempotent\",\"timeoutMs\":1000,\"goalMs\":100,"
		"\"priority\":1,\"gather\":[\"shard0\",\"shard1\"],"
		"\"attempts\":2,\"topK\":50,\"minRequired\":0.89}],"
		"\"services\":[{\"name\":\"shard0\","
		"\"healthPath\":\"/healthz\",\"maxConns\":26,"
		"\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
		"\"warmupPerS\":0.0},{\"name\":\"shard1\","
		"\"healthPath\":\"/healthz\",\"maxConns\":26,"
		"\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
		"\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
		"\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
		"\"idleTimeoutMs\":15000}}");
	rig_gateway_start();
	for (i = 1; i <= REQUESTS; i++) {
		int result;

		if (fd < 0)
			fd = rig_connect(rig_gateway_port);
		result = ask(fd, i);
		if (result < 0) {
			rig_log("client: q%d has no answer", i);
			close(fd);
			fd = -1;
		}
		wrong += result > 0;
		rig_sleep_ms(GAP_MS);
	}
	rig_log("%d requests, %d second copies, %d wrong answers: rule MIXED %s",
		REQUESTS, copies, wrong, wrong ? "is broken" : "held");
	rig_end();
	return wrong ? RIG_BROKEN : RIG_HELD;
}
