/*
 * Target model: requests on parallel slots behind a first-in-first-out queue,
 * with deadlines, cancellation, cold starts and the faults that change what
 * is served. It knows no encoding; the time is passed in.
 */
#ifndef STANDIN_TARGET_H
#define STANDIN_TARGET_H

#include <glib.h>
#include <stdint.h>

#include "base/timer_queue.h"
#include "fault.h"
#include "model/request.h"

/* Leaves room for the instance suffix in a name of 64 bytes. */
#define TARGET_ID_BYTES 41

/* DEF(id, name) */
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

struct target_spec {
	char id[TARGET_ID_BYTES];
	char address[ADDRESS_BYTES];
	uint32_t port;
	char data_centre[NAME_BYTES];
	char version[NAME_BYTES];
	/* Empty: serves every snapshot. */
	char snapshot[SNAPSHOT_BYTES];
	uint32_t slots;
	uint32_t connections;
	uint32_t connect_us;
	uint32_t cold_slots;
	uint32_t cold_factor;
	/* Requests served until a cold target is warm. */
	uint32_t cold_requests;
	/* 1: starts cold. */
	uint32_t cold;
	uint32_t service_us;
	/* Half width of the uniform spread around service_us. */
	uint32_t spread_permille;
	/* Requests that may wait for a slot. */
	uint32_t queue;
	uint32_t seed;
};

/* DEF(field) counters of one target. */
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

struct job {
	struct job *prev;
	struct job *next;
	struct target *target;
	/* Set by the owner; NULL when nobody waits for the answer. */
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
	int64_t finish_us;
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

/* Takes ownership of @j; called once for each job given to target_submit(). */
typedef void job_done_fn(void *ctx, struct job *j, enum job_end end,
			 int64_t now_us);

struct target {
	struct target_spec spec;
	struct timer_queue *timers;
	/* Executions of each non-idempotent request ID, shared by all. */
	GHashTable *once;
	struct rng rng;
	char instance[NAME_BYTES];
	/* Makes instance IDs differ between processes. */
	char run[16];
	uint32_t starts;
	uint32_t is_cold;
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
/* Runs, queues or refuses @j. */
void target_submit(struct target *t, struct job *j, int64_t now_us);
void target_cancel(struct target *t, const char *request_id, uint64_t sub_id,
		   int64_t now_us);
/* New instance that keeps the work it has. */
void target_renew(struct target *t, int cold);
/* New instance; forgets all work without calling back. */
void target_restart(struct target *t, int cold);
/* Lets the requests go on that the hold fault stopped. */
void target_release(struct target *t, int64_t now_us);
int target_fires(struct target *t, enum target_fault id, const char *route,
		 int64_t now_us);
/* Requests active and queued. */
uint32_t target_load(const struct target *t);

#endif
