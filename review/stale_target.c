/*
 * Case 11: a host that the store turns away follows a host that was started
 * after a searcher left; it never learns that the searcher has left.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "rig-3.h"

/* The host that is restarted, and the one that the store turns away. */
#define RESTARTED 0
#define BEHIND 1
#define WORK_MS 300
#define DEADLINE_MS 4000
#define CLIENTS 8
/* Time for which the store turns the host away; the site file has 9 s. */
#define TURNED_AWAY_MS 5000
/* From the end of the restarted host's process until the platform starts it. */
#define RESTART_MS 800
/* The searcher serves on for drainMs and some seconds more, then it ends. */
#define SERVES_ON_MS (DRAIN_MS + 7000)

static const char config[] =
	"{\"version\":5,\"routes\":[{\"name\":\"files\","
	"\"host\":\"files.example\",\"prefix\":\"/files/\","
	"\"service\":\"files\",\"type\":\"non_idempotent\",\"attempts\":2,"
	"\"timeoutMs\":4000,\"goalMs\":400,\"priority\":1}],"
	"\"services\":[{\"name\":\"files\",\"maxConns\":110,"
	"\"healthPath\":\"/healthz\",\"warmupPerS\":0}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

struct client {
	pthread_t thread;
	int number;
	double from_ms;
	double until_ms;
	int sent;
	int failed;
};

static void *client_run(void *ctx)
{
	struct client *c = ctx;

	rig_sleep_until(c->from_ms + c->number * 20);
	while (rig_ms() < c->until_ms) {
		struct answer a;
		char id[64];

		snprintf(id, sizeof(id), "r%d-%d", c->number, c->sent++);
		record("client sends %s to host %d", id, BEHIND);
		a = client_call(BEHIND, "POST", "/files/x", id, "work",
				DEADLINE_MS);
		record("client gets %d for %s, stamp '%s'", a.status, id,
		       a.stamp);
		c->failed += a.status != 200;
	}
	return NULL;
}

int main(int argc, char **argv)
{
	struct client clients[CLIENTS] = { { 0 } };
	struct searcher *stays;
	struct searcher *leaves;
	double ended_ms;
	double left_ms;
	double in_touch_ms;
	int late = 0;
	int cut = 0;
	int failed = 0;
	int i;

	if (argc < 2)
		return CANNOT_RUN;
	rig_init(argv[1]);
	store_start();
	store_put("op/config", config);
	stays = searcher_start("i-stays", "files", WORK_MS);
	leaves = searcher_start("i-leaves", "files", WORK_MS);
	host_start(RESTARTED);
	host_start(BEHIND);
	host_wait_ready(RESTARTED, 10000);
	host_wait_ready(BEHIND, 10000);
	rig_sleep(CONTACT_MS + 1000);

	/* Planned restart of one host, as when all are restarted in turn. */
	host_signal(RESTARTED, SIGTERM);
	rig_sleep(3000);
	/* The disruption: the store turns the other host away. */
	if (rig_trouble())
		store_turn_away(BEHIND, 1);
	if (!host_wait_end(RESTARTED, GRACE_S * 1000))
		cannot_run("host %d does not end", RESTARTED);
	ended_ms = rig_ms();
	rig_sleep(300);
	searcher_remove_entry(leaves);
	left_ms = rig_ms();
	rig_sleep_until(ended_ms + RESTART_MS);
	host_start(RESTARTED);
	host_wait_ready(RESTARTED, 10000);
	rig_sleep_until(ended_ms - 600 + TURNED_AWAY_MS);
	if (rig_trouble())
		store_turn_away(BEHIND, 0);

	/* The store is stable: the host is in touch after contactMs. */
	in_touch_ms = rig_ms() + CONTACT_MS;
	for (i = 0; i < CLIENTS; i++) {
		clients[i].number = i;
		clients[i].from_ms = in_touch_ms + 200;
		clients[i].until_ms = left_ms + SERVES_ON_MS + 300;
		pthread_create(&clients[i].thread, NULL, client_run,
			       &clients[i]);
	}
	if (in_touch_ms < left_ms + DRAIN_MS ||
	    in_touch_ms + 500 > left_ms + SERVES_ON_MS)
		cannot_run("times do not fit");
	rig_sleep_until(left_ms + SERVES_ON_MS);
	searcher_end(leaves);
	for (i = 0; i < CLIENTS; i++) {
		pthread_join(clients[i].thread, NULL);
		failed += clients[i].failed;
	}

	pthread_mutex_lock(&leaves->lock);
	for (i = 0; i < leaves->run_count; i++) {
		if (leaves->runs[i].at_ms < in_touch_ms + 200)
			continue;
		late++;
		cut += !leaves->runs[i].is_answered;
	}
	pthread_mutex_unlock(&leaves->lock);
	record("requests that reached the searcher more than drainMs after it "
	       "had left: %d; of these cut when it ended: %d; answers other "
	       "than 200: %d; runs of the other searcher: %d",
	       late, cut, failed, stays->run_count);
	printf("late %d, cut %d, failed %d, turned away calls %d\n", late, cut,
	       failed, store_turned_away_calls(BEHIND));
	finish(late ? BROKEN : HELD);
}
