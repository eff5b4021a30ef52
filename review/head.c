/*
 * A client sends HEAD on a kept connection while all searchers of the service
 * are down, and then GET on the same connection. An answer to HEAD has no body.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define ROUNDS 40
/* The searchers are down from this round on, for DOWN_MS. */
#define DOWN_FROM 10
#define DOWN_MS 2000

static uint16_t searcher_port;
static int listener;
static int is_down;
static int open_fds[64];
static int open_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void *searcher_connection(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct rig_message *m = calloc(1, sizeof(*m));

	while (rig_read_head(fd, m, 60000) == 1) {
		char id[80] = "";
		char text[400];
		int is_head = strncmp(m->head, "HEAD ", 5) == 0;

		rig_header(m, "Cowslippoint-Request-Id", id, sizeof(id));
		rig_log("searcher: runs %s", id);
		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 OK\r\nCowslippoint-Request-Id: %s\r\n"
			 "Cowslippoint-Server-Stamp: s.%s\r\n"
			 "Content-Length: 6\r\n\r\n%s",
			 id, id, is_head ? "" : "record");
		rig_write(fd, text, strlen(text));
		rig_free(m);
	}
	rig_free(m);
	free(m);
	return NULL;
}

static void *searcher_main(void *arg)
{
	for (;;) {
		int fd = accept(listener, NULL, NULL);

		pthread_mutex_lock(&lock);
		if (fd < 0 || is_down) {
			if (fd >= 0)
				close(fd);
			pthread_mutex_unlock(&lock);
			rig_sleep_ms(20);
			continue;
		}
		open_fds[open_count++ % 64] = fd;
		pthread_mutex_unlock(&lock);
		rig_thread(searcher_connection, (void *)(intptr_t)fd);
	}
	return NULL;
}

/* The process of the searcher ends: connections are reset, the port refuses. */
static void crash(void)
{
	int i;

	rig_log("searcher: crashes");
	pthread_mutex_lock(&lock);
	is_down = 1;
	shutdown(listener, SHUT_RDWR);
	close(listener);
	for (i = 0; i < open_count && i < 64; i++)
		shutdown(open_fds[i], SHUT_RDWR);
	pthread_mutex_unlock(&lock);
}

static void come_back(void)
{
	pthread_mutex_lock(&lock);
	listener = rig_listen(&searcher_port);
	is_down = 0;
	pthread_mutex_unlock(&lock);
	rig_log("searcher: is back");
}

/*
 * Sends one request and reads its answer, which has no body if @method is HEAD.
 * 1: answered; 0: the connection ended; -1: bytes that are no answer.
 */
static int ask(int fd, const char *method, int number)
{
	struct rig_message *m = calloc(1, sizeof(*m));
	char head[400];
	int n = snprintf(head, sizeof(head),
			 "%s /p/%d HTTP/1.1\r\nHost: desk.example\r\n"
			 "Cowslippoint-Request-Id: %c%d\r\n"
			 "Cowslippoint-Deadline-Ms: 2000\r\n\r\n",
			 method, number, method[0], number);
	int result;

	rig_log("client: sends %s %c%d", method, method[0], number);
	rig_write(fd, head, (size_t)n);
	result = rig_read_head(fd, m, 4000);
	if (result == 1 && rig_status(m) < 0)
		result = -1;
	if (result == 1)
		rig_log("client: %s %c%d is answered %d", method, method[0],
			number, rig_status(m));
	else if (result == 0)
		rig_log("client: %s %c%d: the connection ended", method,
			method[0], number);
	else
		rig_log("client: %s %c%d: bytes that are no answer: '%.70s'",
			method, method[0], number, m->head);
	/* What follows the head of an answer to HEAD is the next answer. */
	if (result == 1 && strcmp(method, "HEAD") == 0 && m->body_len) {
		rig_log("client: HEAD %c%d: bytes that are no answer: '%.70s'",
			method[0], number, m->body);
		result = -1;
	}
	if (result == 1 && strcmp(method, "HEAD") != 0 &&
	    !rig_read_body(fd, m, 1000))
		result = 0;
	rig_free(m);
	free(m);
	return result;
}

int main(int argc, char **argv)
{
	int broken = 0;
	int fd = -1;
	int i;

	rig_init(argv[1]);
	rig_store_start();
	listener = rig_listen(&searcher_port);
	rig_thread(searcher_main, NULL);
	rig_put_searcher("i-1", "desk", searcher_port, 1);
	rig_store_put("op/config",
		      "{\"version\":7,\"routes\":[{\"name\":\"r1\","
		      "\"host\":\"desk.example\",\"prefix\":\"/p/\","
		      "\"type\":\"idempotent\",\"timeoutMs\":4000,"
		      "\"goalMs\":400,\"priority\":2,\"service\":\"desk\","
		      "\"attempts\":2}],\"services\":[{\"name\":\"desk\","
		      "\"healthPath\":\"/healthz\",\"maxConns\":110,"
		      "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
		      "\"warmupPerS\":0.0}],\"limits\":{"
		      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
	rig_gateway_start();
	for (i = 1; i <= ROUNDS && !broken; i++) {
		if (rig_trouble && i == DOWN_FROM)
			crash();
		if (rig_trouble && i == DOWN_FROM + DOWN_MS / 100)
			come_back();
		if (fd < 0)
			fd = rig_connect(rig_gateway_port);
		switch (ask(fd, i % 2 ? "GET" : "HEAD", i)) {
		case 0:
			close(fd);
			fd = -1;
			break;
		case -1:
			broken = 1;
			break;
		default:
			break;
		}
		rig_sleep_ms(100);
	}
	rig_log(broken ? "rule MIXED is broken" : "rule MIXED held");
	rig_end();
	return broken ? RIG_BROKEN : RIG_HELD;
}
