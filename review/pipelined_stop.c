/*
 * Case 7: callers send two requests at once on a kept connection, and the
 * process is asked to stop while it waits for the first answer. Checks that the
 * second request, which it has read as well, is answered.
 */
#include "rig-2.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define FOLDER "review/7"
#define CALLERS 20
#define WORK_MS 300
#define BEFORE_STOP_MS 100
#define WAIT_MS 6000

struct pair {
	pthread_t thread;
	int number;
	double sent_ms;
	double ended_ms;
	/* Bytes that the process had not read half way to the stop. */
	long unread;
	struct answer answers[2];
};

static pthread_barrier_t all_connected;

static void one_request(struct caller *c, const char *id)
{
	char text[512];
	int len = request_head(text, sizeof(text), "GET", "/files/a", id, 4000,
			       0);
	struct answer a;

	caller_send(c, text, (size_t)len);
	a = caller_read(c, 5000);
	if (a.status != 200)
		cannot_run("first request %s: answer %d", id, a.status);
}

static void *caller_thread(void *arg)
{
	struct pair *p = arg;
	struct caller c;
	char text[1024];
	char id[64];
	int len;
	int i;

	if (!caller_connect(&c))
		cannot_run("no connection");
	snprintf(id, sizeof(id), "caller%d-before", p->number);
	one_request(&c, id);
	pthread_barrier_wait(&all_connected);
	snprintf(id, sizeof(id), "caller%d-first", p->number);
	len = request_head(text, sizeof(text), "GET", "/files/a", id, 4000, 0);
	snprintf(id, sizeof(id), "caller%d-second", p->number);
	len += request_head(text + len, sizeof(text) - (size_t)len, "GET",
			    "/files/a", id, 4000, 0);
	/* In one write, so that the process reads both together. */
	p->sent_ms = rig_ms();
	caller_send(&c, text, (size_t)len);
	rig_sleep(BEFORE_STOP_MS / 2);
	p->unread = caller_unread(&c);
	for (i = 0; i < 2; i++) {
		p->answers[i] = caller_read(&c, WAIT_MS);
		p->ended_ms = p->answers[i].at_ms;
	}
	caller_close(&c);
	return NULL;
}

int main(void)
{
	static struct pair pairs[CALLERS];
	struct searcher *s[2];
	int lost = 0;
	size_t i;

	rig_init(FOLDER);
	store_start();
	store_put_config(1, "idempotent", 262144);
	s[0] = searcher_start("i-7f3a91c2", "files", WORK_MS);
	s[1] = searcher_start("i-02d9e6b4", "files", WORK_MS);
	gateway_start();
	rig_sleep(CONTACT_MS);
	pthread_barrier_init(&all_connected, NULL, CALLERS + 1);
	for (i = 0; i < CALLERS; i++) {
		pairs[i].number = (int)i;
		pthread_create(&pairs[i].thread, NULL, caller_thread,
			       &pairs[i]);
	}
	pthread_barrier_wait(&all_connected);
	rig_sleep(BEFORE_STOP_MS);
	if (rig_trouble()) {
		record("SIGTERM");
		gateway_signal(SIGTERM);
	}
	for (i = 0; i < CALLERS; i++)
		pthread_join(pairs[i].thread, NULL);
	for (i = 0; i < CALLERS; i++) {
		const struct pair *p = &pairs[i];
		double after_ms = p->ended_ms - p->sent_ms;
		int is_lost = p->answers[0].status == 200 &&
			      !p->answers[1].status && p->unread == 0 &&
			      after_ms > LOSS_SLACK_MS;

		record("caller %d sent two requests at %.1f ms, of which the "
		       "process has %ld bytes unread: answers %d "
		       "(connection: %s) and %d; the connection ended %.0f ms "
		       "after its last byte was sent%s",
		       p->number, p->sent_ms, p->unread, p->answers[0].status,
		       p->answers[0].says_close ? "close" : "kept",
		       p->answers[1].status, after_ms, is_lost ? ": LOST" : "");
		lost += is_lost;
	}
	for (i = 0; i < 2; i++)
		record("%s ran %zu requests", s[i]->id, searcher_runs(s[i]));
	record("requests that were read and not answered: %d of %d", lost,
	       2 * CALLERS);
	gateway_kill();
	return lost ? BROKEN : HELD;
}
