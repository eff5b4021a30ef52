/*
 * The only searcher of a service crashes and comes back cold. While it is cold
 * it tolerates half a request per second (warmupPerS 0.5) and crashes at a rate
 * well above that; what it works on is then lost.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define PER_S "0.5"
/* warmupPerS x warmupOverrun + warmupSlack: 0.5 x 1.5 + 5. */
#define BOUND_PER_S 5.75
/* The stand-in crashes at twice the bound. */
#define CRASH_PER_S 12
#define WARMUP_MS 3000
#define DOWN_MS 1500
#define CLIENTS 8
#define RUN_MS 7000

static uint16_t port;
static int listener = -1;
static int is_up;
static int open_fds[256];
static int open_count;
static int64_t cold_until_ms;
/* Arrival times while cold. */
static int64_t arrivals_ms[4096];
static int arrival_count;
static int worst_per_s;
static int working;
static int lost;
static int crashes;
static int64_t end_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void put_entry(const char *id, int64_t warmup_left_ms, int seq)
{
	char key[64];
	char text[512];

	snprintf(key, sizeof(key), "servers/%s", id);
	snprintf(text, sizeof(text),
		 "{\"service\":\"desk\",\"address\":\"%s:%u\",\"zone\":\"a\","
		 "\"version\":\"v1\",\"capacity\":3,\"phase\":\"ready\","
		 "\"warmupLeftMs\":%lld,\"seq\":%d,\"born\":17000000%s}",
		 rig_address, port, (long long)warmup_left_ms, seq,
		 strcmp(id, "i-1") == 0 ? "00000" : "09000");
	rig_store_put(key, text);
}

/* The process ends: connections are reset, the port refuses. */
static void crash_locked(const char *why)
{
	int i;

	rig_log("searcher: crashes (%s), %d requests in work", why, working);
	is_up = 0;
	shutdown(listener, SHUT_RDWR);
	close(listener);
	listener = -1;
	for (i = 0; i < open_count; i++)
		shutdown(open_fds[i], SHUT_RDWR);
	open_count = 0;
}

/* Counts an arrival; returns 1 if the searcher crashes at this rate. */
static int count_arrival(void)
{
	int64_t now_ms = rig_now_ms();
	int n = 0;
	int i;

	if (now_ms >= cold_until_ms)
		return 0;
	arrivals_ms[arrival_count++ % 4096] = now_ms;
	for (i = arrival_count - 1; i >= 0 && arrivals_ms[i] > now_ms - 1000; i--)
		n++;
	if (n > worst_per_s)
		worst_per_s = n;
	return n > CRASH_PER_S;
}

static void *searcher_connection(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct rig_message *m = calloc(1, sizeof(*m));
	int ok = 1;

	while (ok && rig_read_head(fd, m, 60000) == 1 &&
	       rig_read_body(fd, m, 5000)) {
		char id[80] = "";
		char text[400];

		rig_header(m, "Cowslippoint-Request-Id", id, sizeof(id));
		pthread_mutex_lock(&lock);
		working++;
		if (is_up && count_arrival()) {
			crashes++;
			crash_locked("too many requests while cold");
		}
		pthread_mutex_unlock(&lock);
		rig_log("searcher: begins %s", id);
		rig_sleep_ms(60);
		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 OK\r\nCowslippoint-Request-Id: %s\r\n"
			 "Cowslippoint-Server-Stamp: s.%s\r\n"
			 "Content-Length: 2\r\n\r\nok",
			 id, id);
		ok = rig_write(fd, text, strlen(text));
		pthread_mutex_lock(&lock);
		working--;
		pthread_mutex_unlock(&lock);
		rig_free(m);
	}
	rig_free(m);
	free(m);
	return NULL;
}

static void *searcher_main(void *arg)
{
	int own = (int)(intptr_t)arg;

	for (;;) {
		int fd = accept(own, NULL, NULL);

		pthread_mutex_lock(&lock);
		if (fd < 0 || own != listener) {
			pthread_mutex_unlock(&lock);
			if (fd >= 0)
				close(fd);
			return NULL;
		}
		open_fds[open_count++ % 256] = fd;
		pthread_mutex_unlock(&lock);
		rig_thread(searcher_connection, (void *)(intptr_t)fd);
	}
}

static void start_searcher(const char *id, int64_t cold_ms)
{
	pthread_mutex_lock(&lock);
	listener = rig_listen(&port);
	is_up = 1;
	cold_until_ms = cold_ms ? rig_now_ms() + cold_ms : 0;
	pthread_mutex_unlock(&lock);
	rig_thread(searcher_main, (void *)(intptr_t)listener);
	put_entry(id, cold_ms, 1);
	rig_log("searcher: %s starts, cold for %lld ms", id,
		(long long)cold_ms);
}

static void *client_main(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct rig_message *m = calloc(1, sizeof(*m));
	int fd = -1;
	int i;

	for (i = 0; rig_now_ms() < end_ms; i++) {
		char head[400];
		int n = snprintf(head, sizeof(head),
				 "POST /p/%d HTTP/1.1\r\nHost: desk.example\r\n"
				 "Cowslippoint-Request-Id: c%d-%d\r\n"
				 "Cowslippoint-Deadline-Ms: 4000\r\n"
				 "Content-Length: 0\r\n\r\n",
				 number, number, i);
		int status;

		if (fd < 0)
			fd = rig_connect(rig_gateway_port);
		rig_write(fd, head, (size_t)n);
		if (rig_read_head(fd, m, 6000) != 1 ||
		    !rig_read_body(fd, m, 1000)) {
			rig_log("client: c%d-%d has no answer", number, i);
			close(fd);
			fd = -1;
			continue;
		}
		status = rig_status(m);
		if (status != 200)
			rig_log("client: c%d-%d is answered %d", number, i,
				status);
		pthread_mutex_lock(&lock);
		lost += status == 502 && crashes > 0;
		pthread_mutex_unlock(&lock);
		rig_free(m);
		rig_sleep_ms(100);
	}
	free(m);
	return NULL;
}

int main(int argc, char **argv)
{
	int broken;
	int i;

	rig_init(argv[1]);
	rig_store_start();
	start_searcher("i-1", 0);
	rig_store_put("op/config",
		      "{\"version\":7,\"routes\":[{\"name\":\"r1\","
		      "\"host\":\"desk.example\",\"prefix\":\"/p/\","
		      "\"type\":\"non_idempotent\",\"timeoutMs\":4000,"
		      "\"goalMs\":400,\"priority\":2,\"service\":\"desk\","
		      "\"attempts\":2}],\"services\":[{\"name\":\"desk\","
		      "\"healthPath\":\"/healthz\",\"maxConns\":110,"
		      "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
		      "\"warmupPerS\":" PER_S "}],\"limits\":{"
		      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
	rig_gateway_start();
	end_ms = rig_now_ms() + RUN_MS;
	for (i = 1; i <= CLIENTS; i++)
		rig_thread(client_main, (void *)(intptr_t)i);
	rig_sleep_ms(1500);
	if (rig_trouble) {
		pthread_mutex_lock(&lock);
		crash_locked("fault");
		pthread_mutex_unlock(&lock);
		rig_store_delete("servers/i-1");
		rig_sleep_ms(DOWN_MS);
		port = 0;
		start_searcher("i-2", WARMUP_MS);
	}
	rig_sleep_ms(end_ms - rig_now_ms() + 200);
	broken = worst_per_s > BOUND_PER_S;
	rig_log("most requests in one second while cold: %d, bound %.2f; "
		"crashed %d times by it, %d requests with unknown outcome "
		"since: rule FAILBACK %s",
		worst_per_s, BOUND_PER_S, crashes, lost,
		broken ? "is broken" : "held");
	rig_end();
	return broken ? RIG_BROKEN : RIG_HELD;
}
