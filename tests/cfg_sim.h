/*
 * Simulation of several hosts, each with a configuration controller, and one
 * store, on a virtual clock and with a seed. The test switches faults on and
 * off; the simulation checks every adopted revision and every committed head.
 */
#ifndef CFG_SIM_H
#define CFG_SIM_H

#include <glib.h>
#include <stdint.h>

#include "base/rng.h"
#include "base/timer_queue.h"
#include "controller/cfg.h"

#define CFG_SIM_HOSTS_MAX 8
/* Number of hosts that watch the store: those with the lowest numbers. */
#define CFG_SIM_WATCHERS 2

struct cfg_sim_store {
	uint64_t revision;
	uint64_t head_version;
	struct cfg_head *head;
	/*
	 * Key "NAME/REV-CHANGE" (revision in decimal, change ID in hex) to
	 * struct cfg_item.
	 */
	GHashTable *items;
};

struct cfg_sim_faults {
	/* 1 while the store refuses every call with ERR_STORE_DOWN. */
	uint32_t down;
	/* Permille of writes whose answer is lost after they took effect. */
	uint32_t lost_answer;
	/*
	 * Number of next writes, of items and of heads, whose answers are lost.
	 */
	uint32_t lose_items;
	uint32_t lose_heads;
	/* Permille of calls that are lost on the way to the store. */
	uint32_t lost_call;
	/*
	 * Permille of writes that are reported as unknown and take effect
	 * later.
	 */
	uint32_t late_write;
	/* Permille of reads that are answered from cfg_sim.saved. */
	uint32_t stale_read;
	/* Permille of watch notifications that are lost. */
	uint32_t lost_watch;
};

struct cfg_sim_host {
	struct cfg_sim *sim;
	uint32_t number;
	struct cfg *cfg;
	/* Number of restarts; events from before the latest one are dropped. */
	uint32_t restarts;
	/*
	 * 1 while the process is stopped; its events wait until it continues.
	 */
	uint32_t paused;
	/* Hosts of different groups do not reach each other. */
	uint32_t group;
	/* 1 while this host does not reach the store. */
	uint32_t cut_off;
	/* Revision that this host adopted last and its change ID; 0: none. */
	uint64_t rev;
	uint64_t change;
	/* Time at which this host last sent heartbeats. */
	int64_t heartbeat_us;
	/*
	 * Number of the latest pull; an answer with another number is dropped.
	 */
	uint64_t pull_token;
};

struct cfg_sim {
	struct rng rng;
	struct timer_queue *timers;
	int64_t now_us;
	uint32_t host_count;
	struct cfg_sim_host hosts[CFG_SIM_HOSTS_MAX];
	struct cfg_sim_store store;
	/* State for restores and stale reads. */
	struct cfg_sim_store saved;
	struct cfg_sim_faults faults;
	/* Replaces cfg_compare_revs() in every host; NULL: it is kept. */
	cfg_compare_fn *compare;
	/* 1 once the store was restored: committed changes may be lost. */
	uint32_t restored;
	/* Change ID to revision, of every head that the store accepted. */
	GHashTable *commits;
	/* Edit number to revision, as reported to the edit's submitter. */
	GHashTable *acknowledged;
	/* Edit number to the revision at which the store accepted the edit. */
	GHashTable *edit_commits;
	/*
	 * Numbers of the edits that were reported as certainly not in effect.
	 */
	GHashTable *refused;
	/* Number of edits so far, which is the number of the latest one. */
	uint32_t edits;
	/* Message of the first violated invariant; empty: none was violated. */
	char violation[256];
	/* Trace of events, or NULL. */
	struct buf *out;
	/* Events that are due later, freed with the simulation. */
	GHashTable *events;
};

/* Starts @host_count hosts with an empty store. */
void cfg_sim_init(struct cfg_sim *s, uint32_t host_count, uint64_t seed,
		  cfg_compare_fn *compare, struct buf *out);
void cfg_sim_clear(struct cfg_sim *s);
/* Runs the events up to @until_us. */
void cfg_sim_run(struct cfg_sim *s, int64_t until_us);

/* Ends the process of a host and starts it with empty memory. */
void cfg_sim_restart(struct cfg_sim *s, uint32_t host);
void cfg_sim_pause(struct cfg_sim *s, uint32_t host, uint32_t paused);
/* Copies the store's state, for a later restore or for stale reads. */
void cfg_sim_save(struct cfg_sim *s);
/* Replaces the store's state by the saved one. */
void cfg_sim_restore(struct cfg_sim *s);
/*
 * Submits an edit through @host; the document is {"edit":N} with a new N, or
 * a deletion. Returns N.
 */
uint32_t cfg_sim_edit(struct cfg_sim *s, uint32_t host, const char *name,
		      uint32_t deletes);
/* As cfg_sim_edit(), for an edit that is based on item revision @if_rev. */
uint32_t cfg_sim_edit_if(struct cfg_sim *s, uint32_t host, const char *name,
			 uint32_t deletes, uint64_t if_rev);
/*
 * Writes an item @name with @json and a new head to the store without any
 * check, as a program of another version could. @lose 1: the head names the
 * item, but the store does not have it.
 */
void cfg_sim_inject(struct cfg_sim *s, const char *name, const char *json,
		    uint64_t change, uint32_t lose);
/* Checks that all hosts and the store have the same revision and items. */
void cfg_sim_check_converged(struct cfg_sim *s);
void cfg_sim_fail(struct cfg_sim *s, const char *fmt, ...) PRINTF_LIKE(2, 3);
void cfg_sim_trace(struct cfg_sim *s, const char *fmt, ...) PRINTF_LIKE(2, 3);

/* The rest is used inside the simulation only. */
typedef void cfg_sim_event_fn(void *ctx);
/*
 * Runs @fn after @delay_us. If @host restarts before that, @fn does not run; if
 * @host is paused then, @fn runs when it continues. @host NULL: the event
 * belongs to no host. @ctx_free frees @ctx whether @fn ran or not.
 */
void cfg_sim_after(struct cfg_sim *s, struct cfg_sim_host *host,
		   int64_t delay_us, cfg_sim_event_fn *fn, void *ctx,
		   void (*ctx_free)(void *ctx));
/* Sets the controller's callbacks that call the store. */
void cfg_sim_store_ops(struct cfg_ops *ops);
void cfg_sim_store_init(struct cfg_sim_store *s);
void cfg_sim_store_clear(struct cfg_sim_store *s);
void cfg_sim_store_copy(struct cfg_sim_store *to,
			const struct cfg_sim_store *from);

#endif
