/*
 * Records by request ID what callers sent and targets ran, and checks the
 * users' rules on it while the soak runs. Any thread may call it.
 */
#ifndef SOAK_LEDGER_H
#define SOAK_LEDGER_H

#include <stdint.h>

#include "base/util.h"
#include "model/name.h"

#define LEDGER_REQUEST_ID_BYTES 40
#define LEDGER_STAMP_BYTES 96

enum ledger_kind { KIND_GATHER, KIND_SINGLE, KIND_ONCE, KIND_MOVE, KIND_COUNT };

/*
 * DEF(id, name): the rules that the soak checks, here with what violates them.
 * mixed: an answer, or a call to a target, that does not belong to the request.
 * twice: a non-idempotent request was run again.
 * refused: a non-idempotent request that was run was answered as not run: 503
 * or 429.
 * denied: an answer has a status below 500 that is not 2xx, 408, 421 or 429.
 * lost: a host that leaves cut off a request that a target had run.
 * attempts: a service ran a request more often than its route allows.
 * budget: more extra calls to a service than the hosts' settings allow.
 * config: a host used a replaced configuration after the time to apply it.
 * regress: a host process went back to an older configuration.
 * drain: a target that drains ran a request after the time allowed.
 * evacuate: the same for a target in an evacuated data centre.
 * exposure: a bad version ran more requests than its share.
 * rollout: a good version did not succeed, or a bad one was not rolled back.
 * recover: too few requests succeeded after the last fault.
 * crash: a host process ended that nobody had killed or told to stop.
 */
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

/* Counts a violation of @rule; prints the first ones of each rule with @fmt. */
void ledger_violation(struct ledger *l, enum ledger_rule rule, const char *fmt,
		      ...) PRINTF_LIKE(3, 4);
uint64_t ledger_violation_count(const struct ledger *l);
/* Prints the answers of each kind and the violations of each rule. */
void ledger_report(struct ledger *l);

/* A caller sends request @id. */
void ledger_sent(struct ledger *l, const char *id, enum ledger_kind kind);
/* A call of request @id arrived at a target of @service. */
void ledger_arrived(struct ledger *l, const char *id, const char *service);
/* A target of @service begins to run @id; fills @stamp, unique to this run. */
void ledger_run(struct ledger *l, const char *id, const char *service,
		char stamp[LEDGER_STAMP_BYTES]);
/* The caller got @status; 0: it got no answer. */
void ledger_answered(struct ledger *l, const char *id, uint32_t status);
/* 1 if a target ran @id. */
int ledger_was_run(struct ledger *l, const char *id);
/* Fills @service with the service whose run of @id got @stamp; 0: none did. */
int ledger_service(struct ledger *l, const char *id, const char *stamp,
		   char service[NAME_BYTES]);

/*
 * Counts a request to @service, of which its bound of extra calls is a share.
 */
void ledger_request_for(struct ledger *l, const char *service);
/*
 * Checks that no service got more extra calls in the last WINDOW_S seconds than
 * @ratio_permille of its requests plus @slack. The requests are the most in
 * this window or in those that ended half a window and a window before. Called
 * once a second.
 */
void ledger_check_budget(struct ledger *l, uint32_t ratio_permille,
			 uint32_t slack);

#endif
