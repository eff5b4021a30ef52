/*
 * Case 11: two hosts of a zone are restarted at about the same time, and a
 * searcher leaves between their two starts. The one that started first follows
 * the other, whose state begins after the removal, and never learns of it.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "rig-3.h"

/* The hosts in the order in which they are started again. */
#define FIRST 1
#define SECOND 0
#define WORK_MS 300
#define DEADLINE_MS 4000
#define CLIENTS 8
/* From the first start to the removal of the entry and to the second start. */
#define LEAVES_AFTER_MS 250
#define SECOND_START_AFTER_MS 500
/* The searcher serves on for drainMs and a little longer, then it ends. */
#define SERVES_ON_MS (DRAIN_MS + 3000)
/* Added to the bounds for what happens between two processes. */
#define SLACK_MS 100

static const char config[] =
	"{\"version\":5,\"routes\":[{\"name\":\"files\","
	"\"host\":\"files.example\",\"prefix\":\"/files/\","
	"\"service\":\"files\",\"type\":\"non_idempotent\",\"attempts\":2,"
	"\"timeoutMs\":4000,\"goalMs\":400,\"priority\":1}],"
	"\"services\":[{\"name\":\"files\",\"maxConns\":95,"
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
		record("client sends %s to host %d", id, FIRST);
		a = client_call(FIRST, "POST", "/files/x", id, "work",
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
	double started_ms;
	double left_ms;
	double from_ms;
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
	host_start(FIRST);
	host_start(SECOND);
	host_wait_ready(FIRST, 10000);
	host_wait_ready(SECOND, 10000);
	rig_sleep(CONTACT_MS);

	/* Planned work: hosts are stopped and started, more than one at a time. */
	host_signal(FIRST, SIGTERM);
	if (rig_trouble())
		host_signal(SECOND, SIGTERM);
	if (!host_wait_end(FIRST, GRACE_S * 1000) ||
	    (rig_trouble() && !host_wait_end(SECOND, GRACE_S * 1000)))
		cannot_run("a host does not end");
	rig_sleep(200);
	started_ms = rig_ms();
	host_start(FIRST);
	/* A searcher leaves; its entry is removed at once. */
	rig_sleep_until(started_ms + LEAVES_AFTER_MS);
	searcher_remove_entry(leaves);
	left_ms = rig_ms();
	rig_sleep_until(started_ms + SECOND_START_AFTER_MS);
	if (rig_trouble())
		host_start(SECOND);
	host_wait_ready(FIRST, 10000);
	host_wait_ready(SECOND, 10000);

	/* From here on the host is in touch and drainMs is over. */
	from_ms = left_ms + DRAIN_MS + SLACK_MS;
	if (from_ms < started_ms + CONTACT_MS + SLACK_MS)
		from_ms = started_ms + CONTACT_MS + SLACK_MS;
	for (i = 0; i < CLIENTS; i++) {
		clients[i].number = i;
		clients[i].from_ms = from_ms;
		clients[i].until_ms = left_ms + SERVES_ON_MS + 300;
		pthread_create(&clients[i].thread, NULL, client_run,
			       &clients[i]);
	}
	rig_sleep_until(left_ms + SERVES_ON_MS);
	searcher_end(leaves);
	for (i = 0; i < CLIENTS; i++) {
		pthread_join(clients[i].thread, NULL);
		failed += clients[i].failed;
	}

	pthread_mutex_lock(&leaves->lock);
	for (i = 0; i < leaves->run_count; i++) {
		if (leaves->runs[i].at_ms < from_ms)
			continue;
		late++;
		cut += !leaves->runs[i].is_answered;
	}
	pthread_mutex_unlock(&leaves->lock);
	record("requests that reached the searcher more than drainMs after it "
	       "had left: %d; of these cut when it ended: %d; answers other "
	       "than 200: %d; runs of the other searcher: %d",
	       late, cut, failed, stays->run_count);
	printf("late %d, cut %d, failed %d\n", late, cut, failed);
	finish(late ? BROKEN : HELD);
}
