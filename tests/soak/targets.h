/*
 * Targets of the soak, all served by one thread. They speak the platform's
 * protocol to hosts and record in the ledger what they run.
 */
#ifndef SOAK_TARGETS_H
#define SOAK_TARGETS_H

#include <stdatomic.h>
#include <stdint.h>

#include "ledger.h"
#include "proxy.h"

#define TARGET_RECORDS 8
#define TARGET_RECORD_BYTES 16

struct targets;

/*
 * One target. Any thread may change the _Atomic fields, which switch its
 * faults; the other fields are set before targets_start().
 */
struct target_entry {
	char service[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char version[NAME_BYTES];
	/* The proxy between the hosts and this target. */
	struct proxy_link *link;
	/* Instance number, part of the target's ID. */
	_Atomic uint32_t instance;
	/* 1: does not listen, and has reset its connections. */
	_Atomic int is_down;
	/* Factor on the service time; 1 without a fault. */
	_Atomic uint32_t slowdown;
	/*
	 * Share of the requests that fail, and of those whose answer is lost.
	 */
	_Atomic uint32_t fail_permille;
	_Atomic uint32_t lost_permille;
	/* 1: sends each answer twice. */
	_Atomic int answers_twice;
	/* 1: each answer says that the target is leaving. */
	_Atomic int says_leaving;
	/*
	 * From this time on a target that is leaving counts requests; 0: never.
	 * Requests that it counted.
	 */
	_Atomic int64_t late_from_us;
	_Atomic uint32_t late_count;
	/* Turns all requests away and asks for a pause of this long; 0: not. */
	_Atomic uint32_t pause_ms;
	/* Share of the answers whose body does not end. */
	_Atomic uint32_t endless_permille;
	/* Requests that it ran, and the time at which the last one began. */
	_Atomic uint64_t run_count;
	_Atomic int64_t last_run_us;
};

struct targets *targets_new(struct ledger *l, struct proxy *p, uint64_t seed,
			    struct err *err);
/* NULL when it cannot listen. */
struct target_entry *targets_add(struct targets *s, const char *service,
				 const char *data_centre, const char *version,
				 struct err *err);
void targets_start(struct targets *s);
/* Ends the thread, closes all connections and frees @s. */
void targets_free(struct targets *s);

/* Writes the target's ID: "SERVICE-DATACENTRE-VERSION-INSTANCE". */
void targets_entry_id(const struct target_entry *s, char out[NAME_BYTES]);
/* Computes the records with which @service answers request @id, unsorted. */
void targets_records(const char *service, const char *id,
		     char out[TARGET_RECORDS * TARGET_RECORD_BYTES]);

#endif
