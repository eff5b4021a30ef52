/*
 * Service-level burn per customer: counts of answers by kind in a fast (5 min)
 * and a slow (1 h) window. Pure; fed by struct customer_evidence.
 *
 * Burn is the bad share divided by the allowed share (1 in 100): at burn 1
 * the budget lasts exactly as long as the window.
 */
#ifndef SLO_H
#define SLO_H

#include <stdint.h>

#include "base/util.h"
#include "model/request_report.h"

#define SLO_ALLOWED_PERMILLE 10
#define SLO_FAST_US (300LL * US_PER_S)
#define SLO_SLOW_US (3600LL * US_PER_S)
/*
 * Alarm at 14 times the allowed rate in both windows: at that rate a 30 day
 * budget lasts about two days, so it needs a person within the hour.
 */
#define SLO_ALARM_BURN_MILLI 14000

/* DEF(field): kinds of answer that spend the budget. */
#define SLO_BAD_KINDS(DEF) DEF(late) DEF(partial) DEF(refused) DEF(lost)

struct slo_counts {
	uint64_t good;
#define DEF(field) uint64_t field;
	SLO_BAD_KINDS(DEF)
#undef DEF
};

struct slo_report {
	char customer[NAME_BYTES];
	struct slo_counts fast;
	struct slo_counts slow;
	/* Burn in thousandths: 1000 spends the budget as fast as allowed. */
	uint64_t fast_burn_milli;
	uint64_t slow_burn_milli;
	/* Part of the slow window's budget that is left; 0 when overspent. */
	uint32_t budget_left_permille;
	/* Kind that spent most of the slow window, or "none". */
	const char *spent_by;
	/* 1 when both windows burn faster than SLO_ALARM_BURN_MILLI. */
	uint32_t alarm;
};

struct slo;

struct slo *slo_new(void);
void slo_free(struct slo *s);
void slo_add(struct slo *s, int64_t now_us, const struct customer_counts *e);
/* ERR_OK, or ERR_UNKNOWN_CUSTOMER when nothing was counted for @customer. */
enum err_code slo_report(struct slo *s, int64_t now_us, const char *customer,
			 struct slo_report *out, struct err *err);
/* Calls @fn for each customer in order of first appearance. */
void slo_each(struct slo *s, int64_t now_us,
	      void (*fn)(void *ctx, const struct slo_report *r), void *ctx);
/* Calls @fn for each customer whose alarm began or ended since the last call. */
void slo_each_alarm_change(struct slo *s, int64_t now_us,
			   void (*fn)(void *ctx, const struct slo_report *r),
			   void *ctx);
/* Fills what follows from the counts of both windows. */
void slo_evaluate(struct slo_report *r);
/* Number of answers of all bad kinds. */
uint64_t slo_bad_count(const struct slo_counts *c);

#endif
