/*
 * Simulation of several hosts with a configuration controller each and one
 * store, on a virtual clock and with a seed. Faults are switched on and off by
 * the caller; every adopted revision and every committed head is checked.
 */
#ifndef CFG_SIM_H
#define CFG_SIM_H

#include <glib.h>
#include <stdint.h>

#include "base/rng.h"
#include "base/timer_queue.h"
#include "controller/cfg.h"

#define CSIM_HOSTS_MAX 8
/* Hosts that watch the store: the first ones. */
#define CSIM_WATCHERS 2

struct csim_store {
	uint64_t revision;
	uint64_t head_version;
	struct cfg_head *head;
	/* "NAME/REV-CHANGE" to cfg_item. */
	GHashTable *items;
};

struct csim_faults {
	/* The store refuses every call. */
	uint32_t down;
	/* Permille of writes whose answer is lost after they took effect. */
	uint32_t lost_answer;
	/* Answers to this many next writes of items and of heads are lost. */
	uint32_t lose_items;
	uint32_t lose_heads;
	/* Permille of calls that get lost on the way to the store. */
	uint32_t lost_call;
	/* Permille of writes that are reported as lost and arrive later. */
	uint32_t late_write;
	/* Permille of reads answered from the saved state. */
	uint32_t stale_read;
	/* Permille of watch notifications that are lost. */
	uint32_t lost_watch;
};

struct csim_host {
	struct sim *sim;
	uint32_t number;
	struct cfg *cfg;
	/* Counts restarts; events of an earlier life are dropped. */
	uint32_t life;
	uint32_t paused;
	/* Hosts of different groups do not reach each other. */
	uint32_t group;
	/* 1 while it does not reach the store. */
	uint32_t cut_off;
	uint64_t rev;
	uint64_t change;
	int64_t heartbeat_us;
	/* Number of the pull in progress. */
	uint64_t pull_token;
};

struct sim {
	struct rng rng;
	struct timer_queue *timers;
	int64_t now_us;
	uint32_t host_count;
	struct csim_host hosts[CSIM_HOSTS_MAX];
	struct csim_store store;
	struct csim_store saved;
	struct csim_faults faults;
	/* Replaces the order of revisions in every host; NULL: the real one. */
	cfg_compare_fn *compare;
	/* 1 once the store was restored: committed changes may be lost. */
	uint32_t restored;
	/* Change ID to revision of every head the store accepted. */
	GHashTable *commits;
	/* Edit number to revision that was reported to its submitter. */
	GHashTable *acknowledged;
	/* Edit number to revision at which the store accepted it. */
	GHashTable *edit_commits;
	/* Edits that were reported as refused for certain. */
	GHashTable *refused;
	uint32_t edits;
	/* First violated invariant; empty when there is none. */
	char violation[256];
	/* Trace of events, or NULL. */
	struct buf *out;
	/* Live events, freed with the simulation. */
	GHashTable *events;
};

/* Starts @host_count hosts with an empty store. */
void csim_init(struct sim *s, uint32_t host_count, uint64_t seed,
	       cfg_compare_fn *compare, struct buf *out);
void csim_clear(struct sim *s);
/* Runs the events up to @until_us. */
void csim_run(struct sim *s, int64_t until_us);

/* Ends the process of a host and starts it with empty memory. */
void csim_restart(struct sim *s, uint32_t host);
void csim_pause(struct sim *s, uint32_t host, uint32_t paused);
/* Copies the store's state, for a later restore or for stale reads. */
void csim_save(struct sim *s);
void csim_restore(struct sim *s);
/*
 * Submits an edit through @host; the document is {"edit":N} with a new N, or
 * a deletion. Returns N.
 */
uint32_t csim_edit(struct sim *s, uint32_t host, const char *name,
		   uint32_t deletes);
/* The same for an edit that is based on item revision @if_rev. */
uint32_t csim_edit_if(struct sim *s, uint32_t host, const char *name,
		      uint32_t deletes, uint64_t if_rev);
/*
 * Writes a new head with @json for @name past all checks, as a program of
 * another version could; @lose: without its item.
 */
void csim_inject(struct sim *s, const char *name, const char *json,
		 uint64_t change, uint32_t lose);
/* Checks that all hosts and the store have the same revision and items. */
void csim_check_converged(struct sim *s);
void csim_fail(struct sim *s, const char *fmt, ...) PRINTF_LIKE(2, 3);
void csim_trace(struct sim *s, const char *fmt, ...) PRINTF_LIKE(2, 3);

/* Used by the parts of the simulation. */
typedef void csim_event_fn(void *ctx);
/*
 * Runs @fn after @delay_us unless @host restarted; while it is paused, when it
 * continues. @host NULL: in any case. @ctx is freed by @ctx_free in any case.
 */
void csim_after(struct sim *s, struct csim_host *host, int64_t delay_us,
		csim_event_fn *fn, void *ctx, void (*ctx_free)(void *ctx));
/* Store side of the controller's callbacks. */
void csim_store_actions(struct cfg_ops *a);
void csim_store_init(struct csim_store *s);
void csim_store_clear(struct csim_store *s);
void csim_store_copy(struct csim_store *to, const struct csim_store *from);

#endif
