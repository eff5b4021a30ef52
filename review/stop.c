/*
 * A planned stop while accepted requests wait in the gateway for a searcher
 * that has asked for a pause. They have to be answered before the process ends.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define CLIENTS 4
#define PAUSE_S 8
#define TIME_LIMIT_MS 10000

static uint16_t searcher_port;
static int64_t paused_until_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int lost;
static int answered;

static void *searcher_connection(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct rig_message *m = calloc(1, sizeof(*m));

	while (rig_read_head(fd, m, 60000) == 1 && rig_read_body(fd, m, 5000)) {
		char id[80] = "";
		char text[400];
		int is_full;

		rig_header(m, "Cowslippoint-Request-Id", id, sizeof(id));
		pthread_mutex_lock(&lock);
		if (!paused_until_ms)
			paused_until_ms = rig_now_ms() + PAUSE_S * 1000;
		is_full = rig_now_ms() < paused_until_ms;
		pthread_mutex_unlock(&lock);
		rig_log("searcher: %s %s", is_full ? "turns away" : "runs", id);
		if (is_full)
			snprintf(text, sizeof(text),
				 "HTTP/1.1 503 Service Unavailable\r\n"
				 "Cowslippoint-Request-Id: %s\r\n"
				 "Cowslippoint-Not-Executed: 1\r\n"
				 "Retry-After: %d\r\n"
				 "Content-Length: 0\r\n\r\n",
				 id, PAUSE_S);
		else
			snprintf(text, sizeof(text),
				 "HTTP/1.1 200 OK\r\n"
				 "Cowslippoint-Request-Id: %s\r\n"
				 "Cowslippoint-Server-Stamp: s.%s\r\n"
				 "Content-Length: 2\r\n\r\nok",
				 id, id);
		rig_write(fd, text, strlen(text));
		rig_free(m);
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

static void *client_main(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct rig_message *m = calloc(1, sizeof(*m));
	char head[400];
	int64_t sent_ms;
	int fd = rig_connect(rig_gateway_port);
	int n = snprintf(head, sizeof(head),
			 "GET /p/%d HTTP/1.1\r\nHost: counter.example\r\n"
			 "Cowslippoint-Request-Id: q%d\r\n"
			 "Cowslippoint-Deadline-Ms: %d\r\n\r\n",
			 number, number, TIME_LIMIT_MS);

	rig_write(fd, head, (size_t)n);
	sent_ms = rig_now_ms();
	rig_log("client: sends q%d", number);
	n = rig_read_head(fd, m, TIME_LIMIT_MS + 2000);
	pthread_mutex_lock(&lock);
	if (n == 1) {
		rig_log("client: q%d is answered %d after %lld ms", number,
			rig_status(m), (long long)(rig_now_ms() - sent_ms));
		answered++;
	} else {
		rig_log("client: the connection of q%d ended without an answer "
			"after %lld of its %d ms",
			number, (long long)(rig_now_ms() - sent_ms),
			TIME_LIMIT_MS);
		lost++;
	}
	pthread_mutex_unlock(&lock);
	rig_free(m);
	free(m);
	return NULL;
}

int main(int argc, char **argv)
{
	int64_t until_ms;
	int listener;
	int broken;
	int i;

	rig_init(argv[1]);
	rig_store_start();
	listener = rig_listen(&searcher_port);
	rig_thread(searcher_main, (void *)(intptr_t)listener);
	rig_put_searcher("i-1", "counter", searcher_port, 1);
	rig_store_put("op/config",
		      "{\"version\":7,\"routes\":[{\"name\":\"r1\","
		      "\"host\":\"counter.example\",\"prefix\":\"/p/\","
		      "\"type\":\"idempotent\",\"timeoutMs\":10000,"
		      "\"goalMs\":600,\"priority\":2,\"service\":\"counter\","
		      "\"attempts\":2}],\"services\":[{\"name\":\"counter\","
		      "\"healthPath\":\"/healthz\",\"maxConns\":40,"
		      "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
		      "\"warmupPerS\":0.0}],\"limits\":{"
		      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
	rig_gateway_start();
	for (i = 1; i <= CLIENTS; i++) {
		rig_thread(client_main, (void *)(intptr_t)i);
		rig_sleep_ms(150);
	}
	rig_sleep_ms(400);
	if (rig_trouble) {
		rig_log("SIGTERM to the gateway");
		kill(rig_gateway_pid, SIGTERM);
		/* The platform sends SIGKILL after graceS, 6 s. */
		if (rig_gateway_wait(6000))
			rig_log("the gateway has ended by itself");
		else
			rig_log("graceS is over, SIGKILL");
	}
	until_ms = rig_now_ms() + TIME_LIMIT_MS + 3000;
	while (lost + answered < CLIENTS && rig_now_ms() < until_ms)
		rig_sleep_ms(20);
	broken = lost > 0;
	rig_log("%d answered, %d lost: rule LOST %s", answered, lost,
		broken ? "is broken" : "held");
	rig_end();
	return broken ? RIG_BROKEN : RIG_HELD;
}
