#include "report.h"

#include <inttypes.h>
#include <stdio.h>

void report_head(void)
{
	printf("%-24s %-13s %6s %8s %8s %8s %8s %7s %8s %5s %4s %5s %6s  %s\n",
	       "scenario", "policy", "reqs", "p50_ms", "p99_ms", "p999_ms",
	       "coverage", "extra", "sent", "refus", "lost", "doubl", "cpu_us",
	       "refusals by code");
}

void report_line(const char *scenario, const struct result *r)
{
	uint32_t i;

	printf("%-24s %-13s %6u %8.1f %8.1f %8.1f %8.4f %7.3f %8" PRIu64
	       " %5u %4u %5" PRIu64 " %6.0f ",
	       scenario, r->policy, r->requests, r->p50_ms, r->p99_ms,
	       r->p999_ms, r->coverage, r->extra_load, r->sent, r->refused,
	       r->lost, r->repeated, r->host_us_per_subrequest);
	for (i = 0; i < r->refusal_kinds; i++)
		printf(" %s:%u", err_name(r->refusals[i].code),
		       r->refusals[i].count);
	if (r->abandoned)
		printf(" abandoned:%" PRIu64 "/%" PRIu64, r->abandoned,
		       r->abandoned + r->cancelled);
	if (r->startup_ms > 0)
		printf(" startup:%.1fs", r->startup_ms / MS_PER_S);
	if (r->cold_exceeded)
		printf(" cold-targets-over-limit:%u", r->cold_exceeded);
	if (r->refused_connections)
		printf(" connections-over-limit:%u", r->refused_connections);
	printf("\n");
	fflush(stdout);
}

static json_t *hosts_json(const struct result *r)
{
	json_t *all = json_object();

#define DEF(field, metric)               \
	json_object_set_new(all, #field, \
			    json_integer((json_int_t)r->hosts.field));
	HOST_COUNTS(DEF)
#undef DEF
	return all;
}

/* Searches of each second: requests, answers, coverage and mean latency. */
static json_t *seconds_json(const struct result *r)
{
	json_t *all = json_array();
	uint32_t i;

	for (i = 0; i < SECONDS_MAX; i++) {
		const struct second *s = &r->seconds[i];
		double total = s->shards_total ? (double)s->shards_total : 1;
		double answered = s->answered ? s->answered : 1;

		json_array_append_new(
			all,
			json_pack("{s:I,s:I,s:f,s:f}", "requests",
				  (json_int_t)s->requests, "answered",
				  (json_int_t)s->answered, "coverage",
				  (double)s->shards_answered / total, "mean_ms",
				  (double)s->latency_us_sum / answered /
					  US_PER_MS));
	}
	return all;
}

void report_add(json_t *all, const char *scenario, const struct result *r)
{
	json_t *policies = json_object_get(all, scenario);
	json_t *refusals = json_object();
	uint32_t i;

	if (!policies) {
		policies = json_object();
		json_object_set_new(all, scenario, policies);
	}
	for (i = 0; i < r->refusal_kinds; i++)
		json_object_set_new(refusals, err_name(r->refusals[i].code),
				    json_integer(r->refusals[i].count));
	json_object_set_new(
		policies, r->policy,
		json_pack("{s:I,s:f,s:f,s:f,s:f,s:f,s:I,s:I,s:I,s:I,s:I,s:I,"
			  "s:f,s:f,s:I,s:I,s:o,s:o,s:o}",
			  "requests", (json_int_t)r->requests, "p50_ms",
			  r->p50_ms, "p99_ms", r->p99_ms, "p999_ms", r->p999_ms,
			  "coverage", r->coverage, "extra_load", r->extra_load,
			  "sent", (json_int_t)r->sent, "refused",
			  (json_int_t)r->refused, "lost", (json_int_t)r->lost,
			  "doubled", (json_int_t)r->repeated, "cold_exceeded",
			  (json_int_t)r->cold_exceeded, "refused_connections",
			  (json_int_t)r->refused_connections, "host_us_per_sub",
			  r->host_us_per_subrequest, "startup_ms",
			  r->startup_ms, "cancelled", (json_int_t)r->cancelled,
			  "abandoned", (json_int_t)r->abandoned, "refusals",
			  refusals, "hosts", hosts_json(r), "seconds",
			  seconds_json(r)));
}

enum err_code report_write(json_t *all, const char *path, struct err *err)
{
	if (json_dump_file(all, path, JSON_INDENT(2) | JSON_REAL_PRECISION(6)))
		return err_set(err, ERR_IO, "cannot write %s", path);
	return ERR_OK;
}
