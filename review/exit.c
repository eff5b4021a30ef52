/*
 * Planned stops under load: SIGTERM to a gateway that serves 20 clients, as the
 * platform does when it stops or restarts a machine. The process has to end by
 * itself within graceS, and without a crash.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig.h"

#define ROUNDS 5
#define CLIENTS 20
#define GAP_MS 100
#define SEARCHERS 4
#define LOAD_MS 3000
/* The platform sends SIGKILL after graceS, 6 s. */
#define GRACE_MS 6000
#define BODY_MAX 9000

static char filler[BODY_MAX];
static int is_running;
static int busy;
static int sent;
static int answered;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* A size that depends on the request: often small, at times large. */
static size_t size_of(unsigned seed)
{
	seed = seed * 2654435761u;
	seed ^= seed >> 15;
	return seed % 4 ? seed / 4 % 1000 : seed / 4 % BODY_MAX;
}

static void *searcher_connection(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct rig_message *m = calloc(1, sizeof(*m));
	int ok = 1;

	while (ok && rig_read_head(fd, m, 60000) == 1 &&
	       rig_read_body(fd, m, 5000)) {
		char id[80] = "";
		char head[300];
		size_t len;
		int n;

		rig_header(m, "Cowslippoint-Request-Id", id, sizeof(id));
		len = size_of((unsigned)atoi(id + 1) * 7);
		rig_log("searcher: runs %s", id);
		rig_sleep_ms(4);
		n = snprintf(head, sizeof(head),
			     "HTTP/1.1 200 OK\r\n"
			     "Cowslippoint-Request-Id: %s\r\n"
			     "Cowslippoint-Server-Stamp: s.%s\r\n"
			     "Content-Length: %zu\r\n\r\n",
			     id, id, len);
		ok = rig_write(fd, head, (size_t)n) &&
		     rig_write(fd, filler, len);
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

static int has_close(const struct rig_message *m)
{
	char text[32];

	return rig_header(m, "Connection", text, sizeof(text)) &&
	       strcasecmp(text, "close") == 0;
}

/* Sends requests over a kept connection until the load ends. */
static void *client_main(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct rig_message *m = calloc(1, sizeof(*m));
	int fd = -1;
	int i;

	for (i = 0; is_running; i++) {
		int id = number * 10000 + i;
		size_t len = size_of((unsigned)id);
		char head[400];
		int n = snprintf(head, sizeof(head),
				 "POST /p/%d HTTP/1.1\r\nHost: desk.example\r\n"
				 "Cowslippoint-Request-Id: r%d\r\n"
				 "Cowslippoint-Deadline-Ms: 4000\r\n"
				 "Content-Length: %zu\r\n\r\n",
				 id, id, len);

		if (fd < 0)
			fd = rig_connect(rig_gateway_port);
		/* The listener is closed: the balancer sends it elsewhere. */
		if (fd < 0)
			break;
		rig_log("client: sends r%d", id);
		pthread_mutex_lock(&lock);
		sent++;
		pthread_mutex_unlock(&lock);
		if (rig_write(fd, head, (size_t)n) &&
		    rig_write(fd, filler, len) &&
		    rig_read_head(fd, m, 6000) == 1 &&
		    rig_read_body(fd, m, 2000)) {
			rig_log("client: r%d is answered %d", id,
				rig_status(m));
			pthread_mutex_lock(&lock);
			answered++;
			pthread_mutex_unlock(&lock);
		} else {
			rig_log("client: r%d has no answer", id);
			close(fd);
			fd = -1;
		}
		if (fd >= 0 && has_close(m)) {
			close(fd);
			fd = -1;
		}
		rig_free(m);
		rig_sleep_ms(GAP_MS);
	}
	if (fd >= 0)
		close(fd);
	free(m);
	pthread_mutex_lock(&lock);
	busy--;
	pthread_mutex_unlock(&lock);
	return NULL;
}

/* Stops the gateway; 1 if it hangs or crashes. */
static int stop(void)
{
	int64_t at_ms = rig_now_ms();
	int status = 0;

	rig_log("SIGTERM to the gateway, process %d", (int)rig_gateway_pid);
	kill(rig_gateway_pid, SIGTERM);
	while (waitpid(rig_gateway_pid, &status, WNOHANG) == 0) {
		if (rig_now_ms() - at_ms > GRACE_MS) {
			rig_log("the process has not ended in graceS: it hangs "
				"and is killed");
			kill(rig_gateway_pid, SIGKILL);
			waitpid(rig_gateway_pid, NULL, 0);
			rig_gateway_pid = 0;
			return 1;
		}
		rig_sleep_ms(10);
	}
	rig_gateway_pid = 0;
	if (WIFSIGNALED(status)) {
		rig_log("the process has crashed after %lld ms, signal %d",
			(long long)(rig_now_ms() - at_ms), WTERMSIG(status));
		return 1;
	}
	rig_log("the process has ended after %lld ms, status %d",
		(long long)(rig_now_ms() - at_ms), WEXITSTATUS(status));
	return 0;
}

static int play_round(void)
{
	int failed = 0;
	int i;

	rig_gateway_start();
	is_running = 1;
	busy = CLIENTS;
	sent = answered = 0;
	for (i = 1; i <= CLIENTS; i++)
		rig_thread(client_main, (void *)(intptr_t)i);
	rig_sleep_ms(LOAD_MS);
	if (rig_trouble) {
		failed = stop();
	} else {
		rig_sleep_ms(GRACE_MS);
		if (waitpid(rig_gateway_pid, NULL, WNOHANG) != 0) {
			rig_log("the process has ended without a stop");
			rig_gateway_pid = 0;
			failed = 1;
		}
	}
	is_running = 0;
	for (i = 0; i < 1000 && busy; i++)
		rig_sleep_ms(10);
	rig_log("%d requests sent, %d answered", sent, answered);
	if (rig_gateway_pid > 0) {
		kill(rig_gateway_pid, SIGKILL);
		waitpid(rig_gateway_pid, NULL, 0);
		rig_gateway_pid = 0;
	}
	return failed;
}

int main(int argc, char **argv)
{
	int failed = 0;
	int i;

	rig_init(argv[1]);
	memset(filler, 'x', sizeof(filler));
	rig_store_start();
	for (i = 0; i < SEARCHERS; i++) {
		char id[16];
		uint16_t port = 0;
		int listener = rig_listen(&port);

		snprintf(id, sizeof(id), "i-%d", i);
		rig_thread(searcher_main, (void *)(intptr_t)listener);
		rig_put_searcher(id, "desk", port, 1);
	}
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
	for (i = 0; i < ROUNDS; i++)
		failed += play_round();
	rig_log("%d of %d stops ended in a hang or a crash: %s", failed, ROUNDS,
		failed ? "a process crashes or hangs" : "held");
	rig_end();
	return failed ? RIG_BROKEN : RIG_HELD;
}
