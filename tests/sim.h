/*
 * Simulation of the request paths of several hosts, with simulated targets,
 * callers and store, one seed and one virtual clock. It checks what must hold
 * under every fault, and collects measurements.
 */
#ifndef SIM_H
#define SIM_H

#include <glib.h>
#include <stdint.h>

#define SIM_HOSTS_MAX 10
#define SIM_CUSTOMERS_MAX 2

/*
 * The plain build runs all seeds. Sanitizer builds are 4 to 20 times slower,
 * and few seeds show the memory and thread faults that they look for.
 */
#if defined(__SANITIZE_THREAD__)
#define SIM_SEEDS_DIVISOR 15
#elif defined(__SANITIZE_ADDRESS__)
#define SIM_SEEDS_DIVISOR 5
#else
#define SIM_SEEDS_DIVISOR 1
#endif

enum sim_policy {
	/* The pipeline of src/filter. */
	SIM_COWSLIPPOINT,
	/* One random replica for each shard; no limits, hedges or retries. */
	SIM_NAIVE,
	/*
	 * The replica whose queue, with the work of all hosts, is shortest. Its
	 * sub-requests never straggle.
	 */
	SIM_ORACLE
};

/* DEF(id, name): faults that a run can have, alone or together. */
#define SIM_FAULTS(DEF)                                  \
	DEF(SIM_STRAGGLE, "straggle")                    \
	DEF(SIM_FAIL, "failed answers")                  \
	DEF(SIM_LOSS, "lost answers")                    \
	DEF(SIM_CROSS, "crossed and duplicate answers")  \
	DEF(SIM_RESTART, "targets restart cold")         \
	DEF(SIM_DOWN, "targets refuse connections")      \
	DEF(SIM_SILENT, "targets are silent")            \
	DEF(SIM_SNAPSHOT, "snapshot change")             \
	DEF(SIM_DC_OUT, "data centre taken out")         \
	DEF(SIM_HOST_DEATH, "host dies and is replaced") \
	DEF(SIM_MEMBERS, "membership disagreement")      \
	DEF(SIM_STORE, "store loses answers and fails")  \
	DEF(SIM_GONE, "callers go away")                 \
	DEF(SIM_FLOOD, "too many requests")

enum sim_fault {
#define DEF(id, name) id,
	SIM_FAULTS(DEF)
#undef DEF
		SIM_FAULT_COUNT
};

/* Values of shards_by_request for requests that are not compared. */
/* The host of the request died. */
#define SIM_LOST UINT64_MAX
/* A shard had only cold replicas, to which the host must not send freely. */
#define SIM_ALL_COLD (UINT64_MAX - 1)
#define SIM_BIT(fault) (1U << (fault))

/* Decisions that a run replaces by wrong ones, to test that the checks fail. */
enum sim_broken {
	SIM_BROKEN_NONE,
	/* Hedges and retries without a budget. */
	SIM_BROKEN_BUDGET,
	/* Every claim is granted. */
	SIM_BROKEN_CLAIM,
	/* Every host considers itself the owner of every cold target. */
	SIM_BROKEN_OWNER,
	/*
	 * Every answer is taken for the answer to the sub-request it came back
	 * on.
	 */
	SIM_BROKEN_MATCH,
	/*
	 * A sub-request that its target runs when it ends is taken for one that
	 * was never sent.
	 */
	SIM_BROKEN_SENT
};

struct sim_customer {
	/* Rate of the contract, for all hosts together. */
	uint32_t rate_per_s;
	/* Rate at which callers send requests. */
	uint32_t offered_per_s;
};

struct sim_options {
	uint64_t seed;
	enum sim_policy policy;
	/* SIM_BIT() of each fault. */
	uint32_t faults;
	enum sim_broken broken;
	uint32_t hosts;
	uint32_t shards;
	uint32_t replicas;
	uint32_t slots;
	uint32_t connections;
	uint32_t cold_slots;
	/* Requests that may wait at one target before it sheds; 0: no limit. */
	uint32_t queue_max;
	/* Mean service time of a warm target. */
	int64_t mean_us;
	/* Network time between host and target, one way. */
	int64_t net_us;
	uint32_t straggle_permille;
	uint32_t answer_ms;
	uint32_t coverage_permille;
	uint32_t extra_permille;
	uint32_t target_share_permille;
	uint32_t lookup_permille;
	uint32_t customer_count;
	struct sim_customer customers[SIM_CUSTOMERS_MAX];
	int64_t duration_us;
	/* Requests that arrive before this time are not measured. */
	int64_t warm_up_us;
	/*
	 * From surge_from_us to surge_to_us the offered load is multiplied by
	 * surge_permille / 1000; surge_permille 0: it is not.
	 */
	int64_t surge_from_us;
	int64_t surge_to_us;
	uint32_t surge_permille;
	/* From this time one replica of every shard is down; 0: never. */
	int64_t lost_from_us;
	/* At this time one replica of every shard restarts cold; 0: never. */
	int64_t cold_at_us;
	/*
	 * Mean time between two injections of one kind of fault, and how long a
	 * host is dead or a target down or silent; the store is down for a
	 * third of it.
	 */
	int64_t fault_every_us;
	int64_t fault_lasts_us;
	/* Length of the parts that the _by_part arrays count; 0: none. */
	int64_t part_us;
};

struct sim_result {
	/* Answer times of complete and partial answers, in ascending order. */
	GArray *latency_us[SIM_CUSTOMERS_MAX];
	uint64_t requests[SIM_CUSTOMERS_MAX];
	uint64_t complete[SIM_CUSTOMERS_MAX];
	uint64_t partial[SIM_CUSTOMERS_MAX];
	uint64_t refused[SIM_CUSTOMERS_MAX];
	/* By enum err_code. */
	uint64_t refused_code[1024];
	/* Of measured requests. */
	uint64_t shards_wanted;
	uint64_t shards_answered;
	/*
	 * Sub-requests that reached a target: the first of each attempt to a
	 * shard and snapshot, and all others but warm-ups.
	 */
	uint64_t first;
	uint64_t extra;
	uint64_t warm_ups;
	/* Requests and complete answers, by part_us-long part of the run. */
	GArray *requests_by_part;
	GArray *complete_by_part;
	/*
	 * For each request in order of arrival: 1 for a complete answer, else
	 * 0.
	 */
	GArray *complete_by_request;
	/* For each request: shards answered, SIM_LOST or SIM_ALL_COLD. */
	GArray *shards_by_request;
	uint64_t violations;
	/* Text of the first violation; NULL for none. */
	char *violation;
};

/* Sets a small deployment with an answer time of 100 ms, for checks. */
void sim_options_init(struct sim_options *o, uint64_t seed);
struct sim_result *sim_run(const struct sim_options *o);
void sim_result_free(struct sim_result *r);
/*
 * Time in us within which @permille10 of 10000 answers came; -1 without any
 * answer.
 */
int64_t sim_quantile_us(const struct sim_result *r, uint32_t customer,
			uint32_t permille10);
const char *sim_fault_name(enum sim_fault fault);

#endif
