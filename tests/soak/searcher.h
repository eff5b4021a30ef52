/*
 * Searchers of the soak: one thread serves them all. They speak the platform's
 * protocol to hosts and record what they run in the ledger.
 */
#ifndef SOAK_SEARCHER_H
#define SOAK_SEARCHER_H

#include <stdatomic.h>
#include <stdint.h>

#include "ledger.h"
#include "proxy.h"

#define SEARCHER_RECORDS 8
#define SEARCHER_RECORD_BYTES 16

struct searchers;

/* Members without _Atomic are set before searchers_start(). */
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
	_Atomic uint32_t slow;
	/* Share of requests that fail, and whose answer is lost. */
	_Atomic uint32_t fail_permille;
	_Atomic uint32_t lost_permille;
	/* Answers a request twice. */
	_Atomic int is_doubling;
	/* Requests run by this instance, and the last of them. */
	_Atomic uint64_t runs;
	_Atomic int64_t last_run_us;
};

struct searchers *searchers_new(struct ledger *l, struct proxy *p,
				uint64_t seed, struct err *err);
/* NULL when it cannot listen. */
struct target_entry *searchers_add(struct searchers *s, const char *service,
				   const char *data_centre, const char *version,
				   struct err *err);
void searchers_start(struct searchers *s);
/* Ends the thread and all connections. */
void searchers_free(struct searchers *s);

/* "SERVICE-DATACENTRE-VERSION-INSTANCE" */
void searcher_id(const struct target_entry *s, char out[NAME_BYTES]);
/* Records of the answer of @service to request @id, in no order. */
void searcher_records(const char *service, const char *id,
		      char out[SEARCHER_RECORDS * SEARCHER_RECORD_BYTES]);

#endif
