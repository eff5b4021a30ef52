/*
 * Load benchmark: open-loop Poisson load on hosts or, for the naive policy, on
 * the targets themselves. Latency counts from the intended send time, so a
 * stall of the load generator or of a host counts for every request that was
 * due during it.
 */
#ifndef BENCH_H
#define BENCH_H

#include <stdint.h>

#include "base/err.h"
#include "base/rng.h"
#include "model/contract.h"
#include "model/layout.h"
#include "model/request.h"

/*
 * Mean service time of a target: with it, one core answers thousands of
 * sub-requests per second.
 */
#define SERVICE_MEAN_US 20000
/* Service times are uniform within this share of the mean, either way. */
#define SERVICE_SPREAD_PERMILLE 200
/* Deadline of a request: 25 mean service times; one straggler takes 20. */
#define ANSWER_MS 500
/* The hosts' estimates settle in this time, which the results leave out. */
#define WARM_UP_US (3 * US_PER_S)
#define MEASURED_US (12 * US_PER_S)
/* A request without any reply for this long after its deadline is lost. */
#define LOST_AFTER_MS 1000
/* On average, one request in this many is a non-idempotent lookup. */
#define LOOKUP_EVERY 20
#define HITS_WANTED 10
#define HOSTS_DEFAULT 8
#define HOSTS_MAX 20
#define REFUSAL_CODES_MAX 16
#define SECONDS_MAX ((WARM_UP_US + MEASURED_US) / US_PER_S)

/* Fault of the target stand-ins during a run, see bench_setup_event(). */
enum bench_event { EVENT_NONE, EVENT_KILL, EVENT_COLD, EVENT_SILENT };

struct scenario {
	const char *name;
	const char *customer;
	const char *index;
	uint32_t shards;
	uint32_t replicas;
	uint32_t slots;
	uint32_t connections;
	uint32_t connect_us;
	/* Offered work, stragglers included, as a share of all slot time. */
	uint32_t load_permille;
	/* Share of sub-requests that take straggle_factor times as long. */
	uint32_t straggle_permille;
	uint32_t straggle_factor;
	uint32_t min_coverage_permille;
	/* Starts at half of the measured time. */
	enum bench_event event;
	/* 1: the oracle policy can model the scenario. */
	int has_oracle;
};

extern const struct scenario scenarios[];
extern const uint32_t scenario_count;

/* Requests per second that the scenario offers. */
double scenario_rate_per_s(const struct scenario *s);
/* Mean service time in us, stragglers included. */
double scenario_service_us(const struct scenario *s);
void scenario_contract(const struct scenario *s, struct contract *c);
/*
 * @ports: of the targets, shard by shard. Replica 0 is in data centre a, 1 in
 * b.
 */
struct layout *scenario_layout(const struct scenario *s, const uint16_t *ports);

/* One request and its reply. */
struct sample {
	/* Intended send time, since the start of the run. */
	int64_t at_us;
	/* Time of the reply or of giving up, since the start of the run. */
	int64_t end_us;
	uint32_t is_lookup;
	/* 0: the request is lost. */
	uint32_t replied;
	enum err_code code;
	uint32_t shards_total;
	uint32_t shards_answered;
};

/* In order of at_us. */
struct samples {
	uint32_t count;
	struct sample *items;
};

/* Draws the arrivals; one seed gives the same ones to all policies. */
void samples_init(struct samples *all, const struct scenario *s, uint64_t seed);
void samples_free(struct samples *all);

struct bench_setup;
struct http_client;

struct run;
/* Sends one request; sets the sample's reply and calls run_ended(). */
typedef void submit_fn(void *ctx, struct run *r, struct sample *s);

struct run {
	const struct scenario *scenario;
	struct bench_setup *stage;
	struct http_client *client;
	struct samples all;
	/* Monotonic clock. */
	int64_t start_us;
	/* Position of the next sample to send. */
	uint32_t next;
	/* Samples that have ended. */
	uint32_t ended;
	/* 0 after the last sample ended. */
	int running;
	submit_fn *submit;
	void *submit_ctx;
};

/* Sends all samples at their times and waits for the replies. */
void run_load(struct run *r);
/* A submit function calls this once for each sample, replied or lost. */
void run_ended(struct run *r, struct sample *s, int64_t now_us);

struct refusal_count {
	enum err_code code;
	uint32_t count;
};

/* Searches that were due in one second of the run, warm-up included. */
struct second {
	uint32_t requests;
	uint32_t answered;
	uint64_t shards_total;
	uint64_t shards_answered;
	int64_t latency_us_sum;
};

/* DEF(field, metric): counters that are summed over all hosts. */
#define HOST_COUNTS(DEF)                         \
	DEF(shards_asked, "shards_asked_total")  \
	DEF(subs_sent, "subrequests_sent_total") \
	DEF(hedges, "hedges_total")              \
	DEF(retries, "retries_total")            \
	DEF(cancels, "cancels_total")            \
	DEF(connects, "target_connects_total")   \
	DEF(silent, "silent_connections_total")  \
	DEF(store_calls, "store_calls_total")    \
	DEF(peer_bytes, "peer_sent_bytes_total")

struct host_counts {
#define DEF(field, metric) uint64_t field;
	HOST_COUNTS(DEF)
#undef DEF
};

struct result {
	const char *policy;
	uint32_t requests;
	double p50_ms;
	double p99_ms;
	double p999_ms;
	/* Share of the shards that answered, in answered searches. */
	double coverage;
	/* Sub-requests received by targets for each shard asked. */
	double extra_load;
	/* Sub-requests that the targets received. */
	uint64_t sent;
	/*
	 * Shards of all requests that were not refused before they were sent.
	 */
	uint64_t asked;
	uint32_t refused;
	uint32_t refusal_kinds;
	struct refusal_count refusals[REFUSAL_CODES_MAX];
	uint32_t lost;
	/* Executions of a non-idempotent lookup after the first one. */
	uint64_t repeated;
	/* Sub-requests that were cancelled at the targets. */
	uint64_t cancelled;
	/* Sub-requests that ran to the end although nobody read the answer. */
	uint64_t abandoned;
	/* Cold targets that got more than one sub-request at once. */
	uint32_t cold_exceeded;
	uint32_t refused_connections;
	/* CPU time of all hosts in us for each sub-request; 0 without hosts. */
	double host_us_per_subrequest;
	/* From the start of the first host until all answered completely. */
	double startup_ms;
	struct host_counts hosts;
	struct second seconds[SECONDS_MAX];
};

/*
 * Fills in latency, coverage, refusals and lost requests of the measured part,
 * and the counts by second and of shards asked of the whole run.
 */
void result_fill(struct result *out, const struct run *r);

/*
 * The naive policy asks one random replica of each shard and waits until the
 * deadline.
 */
submit_fn naive_submit;
void *naive_new(uint64_t seed);
void naive_free(void *naive);
/* The cowslippoint policy sends the requests to the hosts in turn. */
submit_fn remote_submit;
void *remote_new(void);
void remote_free(void *remote);
/*
 * The oracle policy runs the same arrivals in virtual time: each sub-request
 * goes to the replica that can start it first, and none straggles.
 */
void oracle_run(struct run *r, uint64_t seed);

/*
 * Subcommand "host": a host with caller, request, target and store duties only.
 */
enum err_code bench_host(int argc, char **argv, struct err *err);

#endif
