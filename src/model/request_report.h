/*
 * What the request duty observed since its last report. The request duty
 * sends one report per REQUEST_REPORT_PERIOD_US to the control duty.
 */
#ifndef REQUEST_REPORT_H
#define REQUEST_REPORT_H

#include <stdint.h>

#include "model/name.h"
#include "model/request.h"

#define REQUEST_REPORT_PERIOD_US 100000

/* Sub-requests of one version of a service on one route. */
struct version_counts {
	char service[NAME_BYTES];
	char version[NAME_BYTES];
	enum request_op op;
	uint32_t requests;
	uint32_t failures;
	/* Slower than the hedge delay in force for the index. */
	uint32_t slow;
	uint64_t service_us_sum;
};

/* Answers to one customer, by kind; each answer counts in one field. */
struct customer_counts {
	char customer[NAME_BYTES];
	uint32_t good;
	uint32_t late;
	uint32_t partial;
	uint32_t refused;
	/* Refused with outcome_unknown. */
	uint32_t lost;
};

enum target_notice_kind { NOTICE_COLD, NOTICE_WARM, NOTICE_LEAVING };

/* Change of a target's state that other hosts should know of. */
struct target_notice {
	char target[NAME_BYTES];
	char instance[NAME_BYTES];
	enum target_notice_kind kind;
};

struct request_report {
	uint32_t version_count;
	struct version_counts *versions;
	uint32_t customer_count;
	struct customer_counts *customers;
	uint32_t notice_count;
	struct target_notice *notices;
};

void request_report_free(struct request_report *e);

#endif
