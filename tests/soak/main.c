/*
 * Fault soak: runs real hosts as processes on loopback, injects faults from
 * outside them, and checks the users' rules from what callers and targets see.
 * See docs/TESTING.md.
 */
#include <apr_general.h>
#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "faults.h"
#include "load.h"
#include "standin/opts.h"

#define STEP_US (20 * US_PER_MS)
#define SETTLE_US (3 * (int64_t)US_PER_S)
/* Share of requests that must succeed after the last fault. */
#define RECOVER_PERMILLE 900

struct settings {
	uint32_t seed;
	uint32_t for_s;
	uint32_t threads;
	char older[200];
};

#define NUMBER(key, field, least, most)                                        \
	{                                                                      \
		key, OPT_NUMBER, offsetof(struct settings, field), least, most \
	}

static const struct opt options[] = {
	NUMBER("seed", seed, 1, UINT32_MAX),
	NUMBER("for", for_s, 1, 3600),
	NUMBER("threads", threads, 1, 32),
	{ "older", OPT_TEXT, offsetof(struct settings, older), 0,
	  sizeof(((struct settings *)0)->older) },
};

/* Runs the faults for @us; begins new ones only if @may_begin. */
static void run_for(struct testbed *tb, struct faults *f, int64_t us,
		    int may_begin)
{
	int64_t until_us = clock_now_us() + us;
	int64_t check_us = clock_now_us() + US_PER_S;

	while (clock_now_us() < until_us) {
		faults_step(f, clock_now_us(), may_begin);
		if (clock_now_us() >= check_us) {
			check_us += US_PER_S;
			ledger_check_budget(tb->ledger, TESTBED_RETRY_PERMILLE,
					    TESTBED_RETRY_SLACK);
		}
		g_usleep(STEP_US);
	}
}

static void check_recovery(struct testbed *tb, struct faults *f, struct load *l)
{
	uint64_t sent_before;
	uint64_t good_before;
	uint64_t sent;
	uint64_t good;

	faults_end_all(f);
	run_for(tb, f, TESTBED_RECOVER_S * (int64_t)US_PER_S, 0);
	load_counts(l, &sent_before, &good_before);
	run_for(tb, f, SETTLE_US, 0);
	load_counts(l, &sent, &good);
	sent -= sent_before;
	good -= good_before;
	printf("after the last fault: %llu of %llu requests answered\n",
	       (unsigned long long)good, (unsigned long long)sent);
	if (!sent || good * PERMILLE < sent * RECOVER_PERMILLE)
		ledger_violation(tb->ledger, RULE_RECOVER,
				 "%llu of %llu requests",
				 (unsigned long long)good,
				 (unsigned long long)sent);
}

static int soak(const char *argv0, const struct settings *set, struct err *err)
{
	struct ledger *ledger = ledger_new();
	struct testbed *tb = util_alloc(1, sizeof(*tb));
	struct faults *f;
	struct load *l;
	uint64_t violations;

	if (!testbed_start(tb, argv0, set->older, ledger, set->seed, err)) {
		ledger_free(ledger);
		free(tb);
		return 2;
	}
	l = load_start(tb, set->threads);
	f = faults_new(tb, set->seed);
	run_for(tb, f, SETTLE_US, 0);
	run_for(tb, f, (int64_t)set->for_s * US_PER_S, 1);
	check_recovery(tb, f, l);
	load_stop(l);
	faults_report(f);
	ledger_report(ledger);
	violations = ledger_violation_count(ledger);
	printf("seed %u: %llu rule violations\n", set->seed,
	       (unsigned long long)violations);
	faults_free(f);
	testbed_stop(tb);
	free(tb);
	ledger_free(ledger);
	return violations != 0;
}

int main(int argc, char **argv)
{
	struct settings set = { .seed = 1, .for_s = 30, .threads = 8 };
	struct err err = { 0 };
	int status;

	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	apr_initialize();
	curl_global_init(CURL_GLOBAL_NOTHING);
	if (opts_args(options, countof(options), &set, argc - 1, argv + 1,
		      &err) != ERR_OK) {
		err_print(stderr, &err);
		return 2;
	}
	status = soak(argv[0], &set, &err);
	if (err.code != ERR_OK)
		err_print(stderr, &err);
	return status;
}
