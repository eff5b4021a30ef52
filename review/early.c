/*
 * A searcher rejects a long request before it has read its body, keeps the
 * connection and reads on later. It has to find the rest of that body there.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define LONG_BYTES 240000
#define SHORT_BYTES 300
#define REQUESTS 120
/* One in 60 requests is long and rejected early: 1.7 in 100. */
#define LONG_EVERY 60

static uint16_t searcher_port;
static int broken;

static void reply(int fd, const char *id, int status, const char *more)
{
	char text[512];
	int n = snprintf(text, sizeof(text),
			 "HTTP/1.1 %d X\r\nCowslippoint-Request-Id: %s\r\n"
			 "%sContent-Length: 2\r\n\r\nok",
			 status, id, more);

	rig_write(fd, text, (size_t)n);
}

/* Checks that the body consists of the one letter that its client sends. */
static void check_body(const struct rig_message *m, const char *id)
{
	size_t i;

	for (i = 0; i < m->body_len; i++) {
		if (m->body[i] == id[0])
			continue;
		rig_log("searcher: body of %s has %zu bytes of its own, then "
			"other bytes: '%.60s'",
			id, i, m->body + i);
		broken = 1;
		return;
	}
	rig_log("searcher: body of %s: %zu of %zu bytes, all its own", id,
		m->body_len, m->body_expected);
}

static void *searcher_connection(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct rig_message *m = calloc(1, sizeof(*m));
	int got;

	while ((got = rig_read_head(fd, m, 20000)) == 1) {
		char id[80] = "";
		char stamp[200];
		int early;

		rig_header(m, "Cowslippoint-Request-Id", id, sizeof(id));
		early = rig_trouble && m->body_expected > 100000;
		if (early) {
			rig_log("searcher: rejects %s early, %zu of %zu bytes "
				"of its body are in",
				id, m->body_len, m->body_expected);
			reply(fd, id, 503, "Cowslippoint-Not-Executed: 1\r\n");
			rig_sleep_ms(300);
		}
		if (!rig_read_body(fd, m, 5000)) {
			rig_log("searcher: connection ended in the body of %s",
				id);
			check_body(m, id);
			break;
		}
		if (m->body_expected)
			check_body(m, id);
		if (!early) {
			snprintf(stamp, sizeof(stamp),
				 "Cowslippoint-Server-Stamp: s.%s\r\n", id);
			reply(fd, id, 200, stamp);
		}
		rig_free(m);
	}
	if (got < 0) {
		rig_log("searcher: got bytes that are no request: '%.60s'",
			m->head);
		broken = 1;
	}
	rig_free(m);
	free(m);
	close(fd);
	return NULL;
}

static void *searcher_main(void *arg)
{
	int listener = (int)(intptr_t)arg;

	for (;;) {
		int fd = accept(listener, NULL, NULL);

		if (fd >= 0)
			rig_thread(searcher_connection, (void *)(intptr_t)fd);
	}
	return NULL;
}

/* Sends one request on the kept connection *@fd and logs the answer. */
static void ask(int *fd, char letter, int number, size_t len)
{
	static char body[LONG_BYTES];
	struct rig_message *m = calloc(1, sizeof(*m));
	char head[400];
	int n = snprintf(head, sizeof(head),
			 "POST /p/%d HTTP/1.1\r\nHost: desk.example\r\n"
			 "Cowslippoint-Request-Id: %c%d\r\n"
			 "Cowslippoint-Deadline-Ms: 4000\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 number, letter, number, len);

	memset(body, letter, len);
	rig_log("client: sends %c%d", letter, number);
	if (*fd < 0)
		*fd = rig_connect(rig_gateway_port);
	rig_write(*fd, head, (size_t)n);
	rig_write(*fd, body, len);
	if (rig_read_head(*fd, m, 6000) == 1 && rig_read_body(*fd, m, 1000)) {
		rig_log("client: %c%d (%zu bytes) is answered %d", letter,
			number, len, rig_status(m));
	} else {
		rig_log("client: %c%d (%zu bytes) has no answer", letter,
			number, len);
		close(*fd);
		*fd = -1;
	}
	rig_free(m);
	free(m);
}

int main(int argc, char **argv)
{
	int fd = -1;
	int listener;
	int i;

	rig_init(argv[1]);
	rig_store_start();
	listener = rig_listen(&searcher_port);
	rig_thread(searcher_main, (void *)(intptr_t)listener);
	rig_put_searcher("i-1", "desk", searcher_port, 1);
	rig_store_put("op/config",
		      "{\"version\":7,\"routes\":[{\"name\":\"r1\","
		      "\"host\":\"desk.example\",\"prefix\":\"/p/\","
		      "\"type\":\"non_idempotent\",\"timeoutMs\":4000,"
		      "\"goalMs\":400,\"priority\":2,\"service\":\"desk\","
		      "\"attempts\":2}],\"services\":[{\"name\":\"desk\","
		      "\"healthPath\":\"/healthz\",\"maxConns\":110,"
		      "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
		      "\"warmupPerS\":0.0}],\"limits\":{"
		      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
	rig_gateway_start();
	for (i = 1; i <= REQUESTS && !broken; i++) {
		int is_long = i % LONG_EVERY == LONG_EVERY / 2;

		ask(&fd, (char)('a' + i % 26), i,
		    is_long ? LONG_BYTES : SHORT_BYTES);
		rig_sleep_ms(5);
	}
	rig_sleep_ms(1500);
	rig_log(broken ? "rule UNASKED is broken" : "rule UNASKED held");
	rig_end();
	return broken ? RIG_BROKEN : RIG_HELD;
}
