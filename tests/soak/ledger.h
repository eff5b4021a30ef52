/*
 * What callers sent and searchers ran, by request ID, and the promises that
 * are checked on it while the soak runs. Any thread may call it.
 */
#ifndef SOAK_LEDGER_H
#define SOAK_LEDGER_H

#include <stdint.h>

#include "base/util.h"
#include "model/name.h"

#define LEDGER_ID_BYTES 40
#define LEDGER_STAMP_BYTES 96

enum ledger_kind { KIND_GATHER, KIND_SINGLE, KIND_ONCE, KIND_MOVE, KIND_COUNT };

/* DEF(id, name): the rules of the users that the soak checks. */
#define LEDGER_RULES(DEF)              \
	DEF(RULE_MIXED, "mixed")       \
	DEF(RULE_TWICE, "twice")       \
	DEF(RULE_REFUSED, "refused")   \
	DEF(RULE_DENIED, "denied")     \
	DEF(RULE_LOST, "lost")         \
	DEF(RULE_ATTEMPTS, "attempts") \
	DEF(RULE_BUDGET, "budget")     \
	DEF(RULE_CONFIG, "config")     \
	DEF(RULE_REGRESS, "regress")   \
	DEF(RULE_DRAIN, "drain")       \
	DEF(RULE_EVACUATE, "evacuate") \
	DEF(RULE_EXPOSURE, "exposure") \
	DEF(RULE_ROLLOUT, "rollout")   \
	DEF(RULE_RECOVER, "recover")   \
	DEF(RULE_CRASH, "crash")

enum ledger_rule {
#define DEF(id, name) id,
	LEDGER_RULES(DEF)
#undef DEF
		RULE_COUNT
};

struct ledger;

struct ledger *ledger_new(void);
void ledger_free(struct ledger *l);

/* Counts a broken rule and prints the first ones with @fmt. */
void ledger_violation(struct ledger *l, enum ledger_rule rule, const char *fmt,
		      ...) PRINTF_LIKE(3, 4);
uint64_t ledger_violation_count(const struct ledger *l);
/* Lines with the counts, for the report. */
void ledger_report(struct ledger *l);

/* A caller sends request @id. */
void ledger_sent(struct ledger *l, const char *id, enum ledger_kind kind);
/* A call arrived at a searcher of @service. */
void ledger_arrived(struct ledger *l, const char *id, const char *service);
/* The searcher begins to run it; fills @stamp. */
void ledger_run(struct ledger *l, const char *id, const char *service,
		char stamp[LEDGER_STAMP_BYTES]);
/* The caller got @status, 0 when the connection ended without an answer. */
void ledger_answered(struct ledger *l, const char *id, uint32_t status);
/* 1 if a searcher ran @id. */
int ledger_was_run(struct ledger *l, const char *id);
/* Service that answered @id with @stamp; 0 if none did. */
int ledger_service(struct ledger *l, const char *id, const char *stamp,
		   char service[NAME_BYTES]);

/* Requests to @service count for its bound of extra calls. */
void ledger_request_for(struct ledger *l, const char *service);
/* Checks the bound of extra calls over the last windows; once a second. */
void ledger_check_budget(struct ledger *l, uint32_t ratio_permille,
			 uint32_t slack);

#endif
