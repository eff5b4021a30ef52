/* "bench": runs the scenarios; "bench host": see host.c. */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "bench.h"
#include "http_client.h"
#include "proc.h"
#include "report.h"
#include "setup.h"

#define USAGE                                                    \
	"usage: bench [--scenario NAME] [--hosts N] [--seed N] " \
	"[--path-only]\n"

struct bench {
	const char *only_scenario;
	uint32_t hosts;
	uint64_t seed;
	/* 1: hosts are "cowslippoint serve", 0: "bench host". */
	int use_serve;
	json_t *json;
};

enum policy { POLICY_NAIVE, POLICY_ORACLE, POLICY_COWSLIPPOINT, POLICY_COUNT };

static const char *const policy_names[] = { "naive", "oracle", "cowslippoint" };

static void record(struct bench *b, const struct scenario *s,
		   const struct result *r)
{
	report_line(s->name, r);
	report_add(b->json, s->name, r);
}

static void run_oracle(struct bench *b, const struct scenario *s,
		       struct result *out)
{
	struct run r = { .scenario = s };

	samples_init(&r.all, s, b->seed);
	oracle_run(&r, b->seed + 1);
	result_fill(out, &r);
	out->sent = out->asked;
	samples_free(&r.all);
}

static void run_policy(struct bench *b, struct run *r, enum policy policy)
{
	if (policy == POLICY_NAIVE) {
		r->submit = naive_submit;
		r->submit_ctx = naive_new(b->seed + 2);
	} else {
		r->submit = remote_submit;
		r->submit_ctx = remote_new();
	}
	run_load(r);
	if (policy == POLICY_NAIVE)
		naive_free(r->submit_ctx);
	else
		remote_free(r->submit_ctx);
}

static enum err_code run_real(struct bench *b, const struct scenario *s,
			      enum policy policy, struct result *out,
			      struct err *err)
{
	struct bench_setup_options o = { policy == POLICY_NAIVE ? 0 : b->hosts,
					 b->use_serve, b->seed };
	struct run r = { .scenario = s };
	struct bench_setup_counts counts = { 0 };
	int64_t cpu_us = 0;

	r.client = http_client_new(err);
	if (!r.client)
		return err->code;
	r.stage = bench_setup_new(s, &o, r.client, err);
	if (!r.stage) {
		http_client_free(r.client);
		return err->code;
	}
	samples_init(&r.all, s, b->seed);
	run_policy(b, &r, policy);
	bench_setup_counts(r.stage, &counts, err);
	bench_setup_host_counts(r.stage, &out->hosts);
	out->startup_ms = (double)r.stage->startup_us / US_PER_MS;
	bench_setup_free(r.stage, &cpu_us);
	result_fill(out, &r);
	out->sent = counts.received;
	out->repeated = counts.repeated;
	out->cancelled = counts.cancelled;
	out->abandoned = counts.abandoned;
	out->cold_exceeded = counts.cold_exceeded;
	out->refused_connections = counts.refused_connections;
	if (out->sent)
		out->host_us_per_subrequest =
			(double)cpu_us / (double)out->sent;
	samples_free(&r.all);
	http_client_free(r.client);
	return err->code;
}

static enum err_code run_scenario(struct bench *b, const struct scenario *s,
				  struct err *err)
{
	enum policy p;

	for (p = 0; p < POLICY_COUNT && !proc_interrupted(); p++) {
		struct result r = { .policy = policy_names[p] };

		if (p == POLICY_ORACLE && !s->has_oracle)
			continue;
		if (p == POLICY_ORACLE)
			run_oracle(b, s, &r);
		else if (run_real(b, s, p, &r, err) != ERR_OK)
			return err->code;
		if (r.asked)
			r.extra_load = (double)r.sent / (double)r.asked;
		if (!proc_interrupted())
			record(b, s, &r);
	}
	return ERR_OK;
}

static enum err_code parse(struct bench *b, int argc, char **argv,
			   struct err *err)
{
	int i;

	for (i = 1; i < argc; i++) {
		const char *value = i + 1 < argc ? argv[i + 1] : "";

		if (strcmp(argv[i], "--path-only") == 0) {
			b->use_serve = 0;
			continue;
		}
		if (strcmp(argv[i], "--scenario") == 0)
			b->only_scenario = value;
		else if (strcmp(argv[i], "--hosts") == 0)
			b->hosts = (uint32_t)strtoul(value, NULL, 10);
		else if (strcmp(argv[i], "--seed") == 0)
			b->seed = strtoull(value, NULL, 10);
		else
			return err_set(err, ERR_USAGE, "unknown option %s",
				       argv[i]);
		i++;
	}
	if (b->hosts < 1 || b->hosts > HOSTS_MAX)
		return err_set(err, ERR_SETTING,
			       "--hosts is out of range, accepted 1 to %d",
			       HOSTS_MAX);
	return ERR_OK;
}

static enum err_code run_all(struct bench *b, struct err *err)
{
	uint32_t done = 0;
	uint32_t i;

	printf("hosts: %u, %s; service %d us, answer_ms %d, seed %llu\n",
	       b->hosts,
	       b->use_serve ? "cowslippoint serve"
			    : "request path without control duties",
	       SERVICE_MEAN_US, ANSWER_MS, (unsigned long long)b->seed);
	report_head();
	for (i = 0; i < scenario_count && !proc_interrupted(); i++) {
		if (b->only_scenario &&
		    strcmp(b->only_scenario, scenarios[i].name) != 0)
			continue;
		done++;
		if (run_scenario(b, &scenarios[i], err) != ERR_OK)
			return err->code;
	}
	if (!done)
		return err_set(err, ERR_USAGE, "--scenario %s does not exist",
			       b->only_scenario);
	if (proc_interrupted())
		return err_set(err, ERR_IO, "interrupted");
	return report_write(b->json, "build/bench.json", err);
}

int main(int argc, char **argv)
{
	struct bench b = { .hosts = HOSTS_DEFAULT, .seed = 1 };
	struct err err = { 0 };

	if (argc > 1 && strcmp(argv[1], "host") == 0) {
		bench_host(argc - 2, argv + 2, &err);
	} else {
		proc_init();
		b.use_serve = bench_setup_has_serve();
		b.json = json_object();
		if (parse(&b, argc, argv, &err) == ERR_OK)
			run_all(&b, &err);
		json_decref(b.json);
	}
	if (err.code == ERR_OK)
		return 0;
	fprintf(stderr, "bench: %d %s: %s\n", (int)err.code, err_name(err.code),
		err.detail);
	if (err.code == ERR_USAGE)
		fputs(USAGE, stderr);
	return 1;
}
