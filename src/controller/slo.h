/*
 * Burn rate of each customer's error budget, from the counts of answers by kind
 * in a fast (5 min) and a slow (1 h) window. Pure: counts and time come in as
 * arguments.
 *
 * The burn rate is the share of bad answers divided by the allowed share (1 in
 * 100): at burn rate 1 the budget lasts exactly as long as the window.
 */
#ifndef SLO_H
#define SLO_H

#include <stdint.h>

#include "base/util.h"
#include "model/request_report.h"

/* Allowed share of bad answers. */
#define SLO_ALLOWED_PERMILLE 10
/* Length of the fast and of the slow window. */
#define SLO_FAST_WINDOW_US (300LL * US_PER_S)
#define SLO_SLOW_WINDOW_US (3600LL * US_PER_S)
/*
 * Alarm at burn rate 14 in both windows: a budget for 30 days then lasts about
 * two days, so a person is needed within the hour.
 */
#define SLO_ALARM_BURN_MILLI 14000

/* DEF(field): kinds of bad answers, which spend the budget. */
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
	/* Burn rates; 1000 spends the budget as fast as allowed. */
	uint64_t fast_burn_milli;
	uint64_t slow_burn_milli;
	/* Share of the slow window's budget that is left; 0 when overspent. */
	uint32_t budget_left_permille;
	/* Most frequent kind of bad answer in the slow window, or "none". */
	const char *spent_by;
	/* 1 when both burn rates are SLO_ALARM_BURN_MILLI or more. */
	uint32_t alarm;
};

struct slo;

struct slo *slo_new(void);
void slo_free(struct slo *s);
/* Adds the counts of one customer from one struct request_report. */
void slo_add(struct slo *s, int64_t now_us,
	     const struct customer_counts *counts);
/* Fills @out; ERR_UNKNOWN_CUSTOMER when @customer never had an answer. */
enum err_code slo_report(struct slo *s, int64_t now_us, const char *customer,
			 struct slo_report *out, struct err *err);
/* Calls @fn for each customer, in the order of their first answers. */
void slo_each(struct slo *s, int64_t now_us,
	      void (*fn)(void *ctx, const struct slo_report *r), void *ctx);
/* Calls @fn for customers whose alarm began or ended since the last call. */
void slo_each_alarm_change(struct slo *s, int64_t now_us,
			   void (*fn)(void *ctx, const struct slo_report *r),
			   void *ctx);
/* Fills the members of @r that follow from the counts of both windows. */
void slo_evaluate(struct slo_report *r);
/* Number of answers of all bad kinds. */
uint64_t slo_bad_count(const struct slo_counts *c);

#endif
