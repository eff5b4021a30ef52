/*
 * Case 9: another writer leaves one entry with a number too large under the key
 * of a searcher, which goes on reporting. Checks that the searcher gets nothing
 * later than drainMs after it has reported that it is draining.
 */
#include "rig-2.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define FOLDER "review/9"
#define CALLERS 12
/* Time from the odd entry to the report, in which the searcher writes often. */
#define REPORTS_MS 8000
/* Searchers go on for drainMs after the report and a little longer. */
#define SERVES_MS (DRAIN_MS + 3000)

static struct searcher *leaving;
static struct searcher *staying;
static const char *_Atomic phase = "ready";
static _Atomic int is_over;
static _Atomic int has_left;
/* Requests that were not answered with success. */
static _Atomic int failed_count;
static pthread_mutex_t report_lock = PTHREAD_MUTEX_INITIALIZER;

static void report_all(void)
{
	pthread_mutex_lock(&report_lock);
	if (!has_left)
		searcher_report(leaving, phase);
	searcher_report(staying, "ready");
	pthread_mutex_unlock(&report_lock);
}

static void *report_thread(void *arg)
{
	while (!is_over) {
		rig_sleep(HEARTBEAT_MS);
		report_all();
	}
	return arg;
}

static void *caller_thread(void *arg)
{
	struct caller c = { .fd = -1 };
	int number = *(int *)arg;
	int n;

	for (n = 0; !is_over; n++) {
		char text[512];
		char id[64];
		struct answer a;
		double sent_ms = rig_ms();
		int len;

		snprintf(id, sizeof(id), "caller%d-%d", number, n);
		len = request_head(text, sizeof(text), "GET", "/files/a", id,
				   4000, 0);
		if (c.fd < 0 && !caller_connect(&c))
			cannot_run("no connection");
		caller_send(&c, text, (size_t)len);
		a = caller_read(&c, 5000);
		record("sent at %.1f ms: GET id %s, answer %d", sent_ms, id,
		       a.status);
		failed_count += a.status != 200;
		if (!a.status || a.says_close)
			caller_close(&c);
		rig_sleep(50);
	}
	caller_close(&c);
	return NULL;
}

static void put_odd_entry(void)
{
	char key[128];
	char value[512];

	snprintf(key, sizeof(key), "servers/%s", leaving->id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"files\",\"address\":\"%s:%u\",\"zone\":\"z1\","
		 "\"version\":\"v1\",\"capacity\":4,\"phase\":\"ready\","
		 "\"warmupLeftMs\":0,\"seq\":9223372036854775807,"
		 "\"born\":%lld}",
		 rig_address(), leaving->port, (long long)leaving->born_ms);
	store_put(key, value);
	record("another writer left an odd entry under %s: %s", key, value);
}

int main(void)
{
	pthread_t threads[CALLERS + 1];
	int numbers[CALLERS];
	double reported_ms;
	int late = 0;
	size_t i;

	rig_init(FOLDER);
	store_start();
	store_put_config(1, "non_idempotent", 262144);
	leaving = searcher_start("i-7f3a91c2", "files", 100);
	staying = searcher_start("i-02d9e6b4", "files", 100);
	gateway_start();
	pthread_create(&threads[CALLERS], NULL, report_thread, NULL);
	rig_sleep(CONTACT_MS);
	for (i = 0; i < CALLERS; i++) {
		numbers[i] = (int)i;
		pthread_create(&threads[i], NULL, caller_thread, &numbers[i]);
	}
	if (rig_trouble())
		put_odd_entry();
	rig_sleep(REPORTS_MS);
	phase = "draining";
	report_all();
	reported_ms = rig_ms();
	record("the store has acknowledged that %s is draining", leaving->id);
	rig_sleep(SERVES_MS);
	pthread_mutex_lock(&report_lock);
	has_left = 1;
	searcher_stop(leaving);
	pthread_mutex_unlock(&report_lock);
	record("%s has ended and its entry is gone", leaving->id);
	rig_sleep(1000);
	is_over = 1;
	for (i = 0; i <= CALLERS; i++)
		pthread_join(threads[i], NULL);
	for (i = 0; i < searcher_runs(leaving); i++) {
		const struct run *r = &leaving->runs[i];
		double after_ms = r->at_ms - reported_ms;

		record("%s ran id %s, %.0f ms after its report%s", leaving->id,
		       r->id, after_ms, after_ms > DRAIN_MS ? ": LATE" : "");
		late += after_ms > DRAIN_MS;
	}
	record("requests that reached %s later than %d ms after the store had "
	       "acknowledged that it is draining: %d",
	       leaving->id, DRAIN_MS, late);
	record("requests without a success: %d", failed_count);
	gateway_kill();
	return late ? BROKEN : HELD;
}
