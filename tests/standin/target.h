/*
 * Model of a target: requests run on parallel slots behind a first-in-first-out
 * queue, with deadlines, cancellation, cold starts and the faults that change
 * what is served. It contains no encoding, and its callers pass the time.
 */
#ifndef STANDIN_TARGET_H
#define STANDIN_TARGET_H

#include <glib.h>
#include <stdint.h>

#include "base/timer_queue.h"
#include "fault.h"
#include "model/request.h"

/* Leaves room in a name of 64 bytes for the suffix of the instance ID. */
#define TARGET_ID_BYTES 41

/* DEF(id, name): faults, by their names on the control port. */
#define TARGET_FAULTS(DEF)                                 \
	DEF(TARGET_FAULT_STRAGGLE, "straggle")             \
	DEF(TARGET_FAULT_SLOW, "slow")                     \
	DEF(TARGET_FAULT_FAIL, "fail")                     \
	DEF(TARGET_FAULT_SHED, "shed")                     \
	DEF(TARGET_FAULT_DRAIN, "drain")                   \
	DEF(TARGET_FAULT_HOLD, "hold")                     \
	DEF(TARGET_FAULT_WRONG_ID, "wrong_id")             \
	DEF(TARGET_FAULT_WRONG_SUB, "wrong_sub")           \
	DEF(TARGET_FAULT_WRONG_SHARD, "wrong_shard")       \
	DEF(TARGET_FAULT_WRONG_SNAPSHOT, "wrong_snapshot") \
	DEF(TARGET_FAULT_CROSSED, "crossed")               \
	DEF(TARGET_FAULT_DUPLICATED, "duplicated")         \
	DEF(TARGET_FAULT_LATE, "late")                     \
	DEF(TARGET_FAULT_TRUNCATED, "truncated")           \
	DEF(TARGET_FAULT_HUGE, "huge")                     \
	DEF(TARGET_FAULT_CLOSE_BEFORE, "close_before")     \
	DEF(TARGET_FAULT_CLOSE_HALF, "close_half")         \
	DEF(TARGET_FAULT_CLOSE_AFTER, "close_after")       \
	DEF(TARGET_FAULT_SILENT_REQUEST, "silent_request") \
	DEF(TARGET_FAULT_SILENT_ANSWER, "silent_answer")   \
	DEF(TARGET_FAULT_HEALTH, "health")                 \
	DEF(TARGET_FAULT_LOAD, "load")                     \
	DEF(TARGET_FAULT_LAG, "lag")                       \
	DEF(TARGET_FAULT_COLD, "cold")                     \
	DEF(TARGET_FAULT_SILENT, "silent")                 \
	DEF(TARGET_FAULT_BLACKHOLE, "blackhole")           \
	DEF(TARGET_FAULT_LIMIT, "limit")                   \
	DEF(TARGET_FAULT_KILL, "kill")

enum target_fault {
#define DEF(id, name) id,
	TARGET_FAULTS(DEF)
#undef DEF
		TARGET_FAULT_COUNT
};

/* Settings of one target. */
struct target_spec {
	char id[TARGET_ID_BYTES];
	char address[ADDRESS_BYTES];
	uint32_t port;
	char data_centre[NAME_BYTES];
	char version[NAME_BYTES];
	/* Empty: serves every snapshot. */
	char snapshot[SNAPSHOT_BYTES];
	/* Requests that run at the same time. */
	uint32_t slots;
	/* Limit of open connections. */
	uint32_t connections;
	/* Time from accepting a connection until it is read. */
	uint32_t connect_us;
	/* Slots, and factor on the service time, of a cold target. */
	uint32_t cold_slots;
	uint32_t cold_factor;
	/* Requests served until a cold target is warm. */
	uint32_t cold_requests;
	/* 1: starts cold. */
	uint32_t cold;
	/* Mean service time of a warm target. */
	uint32_t service_us;
	/*
	 * Half width of the uniform spread around service_us, as a part of it.
	 */
	uint32_t spread_permille;
	/* Requests that may wait for a slot. */
	uint32_t queue;
	uint32_t seed;
};

/* DEF(field): counters of one target. */
#define TARGET_COUNTERS(DEF) \
	DEF(received)        \
	DEF(executed)        \
	DEF(answered)        \
	DEF(shed)            \
	DEF(drained)         \
	DEF(cancelled)       \
	DEF(expired)         \
	DEF(failed)          \
	DEF(abandoned)       \
	DEF(snapshot_gone)   \
	DEF(silenced)        \
	DEF(peak_concurrent) \
	DEF(cold_received)   \
	DEF(cold_peak)       \
	DEF(cold_starts)     \
	DEF(once_executed)   \
	DEF(once_repeated)

struct target_counters {
#define DEF(field) uint64_t field;
	TARGET_COUNTERS(DEF)
#undef DEF
};

/* How a request ended. */
enum job_end {
	JOB_DONE,
	JOB_FAILED,
	JOB_SHED,
	JOB_DRAINING,
	JOB_SNAPSHOT_GONE,
	JOB_CANCELLED_QUEUED,
	JOB_CANCELLED_RUNNING,
	JOB_EXPIRED_QUEUED,
	JOB_EXPIRED_RUNNING
};

enum job_state { JOB_NEW, JOB_QUEUED, JOB_RUNNING, JOB_ENDED };

struct target;

/* A request at a target. */
struct job {
	struct job *prev;
	struct job *next;
	struct target *target;
	/* Connection, set by the caller; NULL: nobody waits for the answer. */
	void *conn;
	enum request_op op;
	uint64_t sub_id;
	char request_id[REQUEST_ID_BYTES];
	char index[NAME_BYTES];
	char shard[NAME_BYTES];
	char snapshot[SNAPSHOT_BYTES];
	char *text;
	uint32_t limit;
	uint32_t idempotent;
	int64_t deadline_us;
	enum job_state state;
	struct timer_entry timer;
	/* Time at which a running request is done. */
	int64_t finish_us;
	/*
	 * HTTP status with which a running request will fail; 0: it succeeds.
	 */
	uint32_t status;
};

void job_free(struct job *j);
/* "search" or "lookup". */
const char *job_route(const struct job *j);

struct job_list {
	struct job *first;
	struct job *last;
	uint32_t count;
};

/*
 * Takes ownership of @j. Called once for each job given to target_submit(),
 * except for jobs that target_restart() or target_clear() drops and frees.
 */
typedef void job_done_fn(void *ctx, struct job *j, enum job_end end,
			 int64_t now_us);

struct target {
	struct target_spec spec;
	struct timer_queue *timers;
	/*
	 * request ID -> executions of non-idempotent requests at all targets.
	 */
	GHashTable *once;
	struct rng rng;
	/* Instance ID: "ID-RUN-STARTS". */
	char instance[NAME_BYTES];
	/* Part of the instance ID that differs between processes. */
	char run[16];
	/* Number of instances so far. */
	uint32_t starts;
	uint32_t is_cold;
	/* Requests until a cold target is warm. */
	uint32_t cold_left;
	struct job_list running;
	struct job_list queued;
	struct target_counters counters;
	struct fault faults[TARGET_FAULT_COUNT];
	job_done_fn *done;
	void *done_ctx;
};

void target_init(struct target *t, const struct target_spec *spec,
		 const char *run, struct timer_queue *timers, GHashTable *once,
		 job_done_fn *done, void *done_ctx);
void target_clear(struct target *t);
/* Runs, queues or refuses @j; calls done() when it has ended. */
void target_submit(struct target *t, struct job *j, int64_t now_us);
/* Ends the job of this request and sub-request if it is queued or running. */
void target_cancel(struct target *t, const char *request_id, uint64_t sub_id,
		   int64_t now_us);
/* Begins a new instance, which keeps the queued and running requests. */
void target_renew(struct target *t, int cold);
/* Begins a new instance; frees all requests without calling done(). */
void target_restart(struct target *t, int cold);
/* Lets the running requests end that the fault "hold" kept running. */
void target_release(struct target *t, int64_t now_us);
/*
 * 1 if fault @id takes effect on a request of the operation @route; uses up one
 * of the fault's times, as fault_fires() does.
 */
int target_fires(struct target *t, enum target_fault id, const char *route,
		 int64_t now_us);
/* Number of running and queued requests. */
uint32_t target_load(const struct target *t);

#endif
