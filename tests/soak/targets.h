/*
 * Searchers of the soak: one thread serves them all. They speak the platform's
 * protocol to hosts and record what they run in the ledger.
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

/* Members without _Atomic are set before targets_start(). */
struct target_entry {
	char service[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char version[NAME_BYTES];
	/* Between the hosts and this searcher. */
	struct proxy_link *link;
	/* Instance number; the ID follows from it. */
	_Atomic uint32_t instance;
	_Atomic int is_down;
	/* Multiple of the usual service time. */
	_Atomic uint32_t slowdown;
	/* Share of requests that fail, and whose answer is lost. */
	_Atomic uint32_t fail_permille;
	_Atomic uint32_t lost_permille;
	/* Answers a request twice. */
	_Atomic int answers_twice;
	/* Requests run by this instance, and the last of them. */
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
/* Ends the thread and all connections. */
void targets_free(struct targets *s);

/* "SERVICE-DATACENTRE-VERSION-INSTANCE" */
void targets_entry_id(const struct target_entry *s, char out[NAME_BYTES]);
/* Records of the answer of @service to request @id, in no order. */
void targets_records(const char *service, const char *id,
		     char out[TARGET_RECORDS * TARGET_RECORD_BYTES]);

#endif
