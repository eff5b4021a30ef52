/*
 * Load bench: open-loop Poisson load on hosts or, for the naive policy, on
 * the targets themselves. Latency counts from the intended send time, so a
 * stall counts against every request that should have been sent in it.
 */
#ifndef BENCH_H
#define BENCH_H

#include <stdint.h>

#include "base/err.h"
#include "base/rng.h"
#include "model/contract.h"
#include "model/layout.h"
#include "model/request.h"

/* One core answers thousands of sub-requests per second at this time. */
#define SERVICE_MEAN_US 20000
#define SERVICE_SPREAD_PERMILLE 200
/* 25 mean service times; one straggler takes 20. */
#define ANSWER_MS 500
/* Estimates settle in this time; not counted. */
#define WARM_UP_US (3 * US_PER_S)
#define MEASURED_US (12 * US_PER_S)
/* A request without any reply so long after its deadline is lost. */
#define LOST_AFTER_MS 1000
/* One request in so many is a non-idempotent lookup. */
#define LOOKUP_EVERY 20
#define HITS_WANTED 10
#define HOSTS_DEFAULT 8
#define HOSTS_MAX 20
#define REFUSAL_CODES_MAX 16
#define SECONDS_MAX ((WARM_UP_US + MEASURED_US) / US_PER_S)

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
	uint32_t straggle_permille;
	uint32_t straggle_factor;
	uint32_t min_coverage_permille;
	/* Happens at half of the measured time. */
	enum bench_event event;
	int has_oracle;
};

extern const struct scenario scenarios[];
extern const uint32_t scenario_count;

/* Requests per second that the scenario offers. */
double scenario_rate_per_s(const struct scenario *s);
/* Mean service time with the stragglers in us. */
double scenario_service_us(const struct scenario *s);
void scenario_contract(const struct scenario *s, struct contract *c);
/* @ports: of the targets, shard by shard. Replica i is in data centre a + i. */
struct layout *scenario_layout(const struct scenario *s, const uint16_t *ports);

/* One request, in order of time. */
struct sample {
	/* Intended send time after the start, and the time of the reply. */
	int64_t at_us;
	int64_t end_us;
	uint32_t is_lookup;
	uint32_t replied;
	enum err_code code;
	uint32_t shards_total;
	uint32_t shards_answered;
};

struct samples {
	uint32_t count;
	struct sample *items;
};

/* The same for all policies of one seed. */
void samples_init(struct samples *all, const struct scenario *s, uint64_t seed);
void samples_free(struct samples *all);

struct stage;
struct hc;

/* Sends one request; sets the sample's reply and calls run_ended(). */
struct run;
typedef void submit_fn(void *ctx, struct run *r, struct sample *s);

struct run {
	const struct scenario *scenario;
	struct stage *stage;
	struct hc *client;
	struct samples all;
	int64_t start_us;
	uint32_t next;
	uint32_t ended;
	int running;
	submit_fn *submit;
	void *submit_ctx;
};

/* Offers all samples and waits for the replies. */
void run_load(struct run *r);
/* Each sample ends once, replied or not. */
void run_ended(struct run *r, struct sample *s, int64_t now_us);

struct refusal_count {
	enum err_code code;
	uint32_t count;
};

/* Requests that were due in one second, warm-up included. */
struct second {
	uint32_t requests;
	uint32_t answered;
	uint64_t shards_total;
	uint64_t shards_answered;
	int64_t latency_us_sum;
};

/* DEF(field, metric of the hosts) */
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
	double coverage;
	double extra_load;
	uint64_t sent;
	uint64_t asked;
	uint32_t refused;
	uint32_t refusal_kinds;
	struct refusal_count refusals[REFUSAL_CODES_MAX];
	uint32_t lost;
	uint64_t doubled;
	/* Sub-requests cancelled at the targets, and those that ran unread. */
	uint64_t cancelled;
	uint64_t abandoned;
	/* Targets that got more at once while cold than they tolerate. */
	uint32_t cold_exceeded;
	uint32_t refused_connections;
	/* CPU time of all hosts per sub-request; 0 without hosts. */
	double host_us_per_sub;
	/* From the first start until each host gave a complete answer. */
	double startup_ms;
	struct host_counts hosts;
	struct second seconds[SECONDS_MAX];
};

/* Latency, coverage and refusals of the measured part. */
void result_fill(struct result *out, const struct run *r);

/* Asks one random replica of each shard, waits until the deadline. */
submit_fn naive_submit;
void *naive_new(uint64_t seed);
void naive_free(void *naive);
/* Sends to the hosts in turn. */
submit_fn remote_submit;
void *remote_new(void);
void remote_free(void *remote);
/*
 * The same arrivals in virtual time: each sub-request goes to the replica
 * whose true queue is shortest, and no answer straggles.
 */
void oracle_run(struct run *r, uint64_t seed);

/* Subcommand "host": caller, request, target and store duties only. */
enum err_code bench_host(int argc, char **argv, struct err *err);

#endif
