/*
 * Report of the request duty to the control duty on what the request duty
 * observed since the last report. One is sent every REQUEST_REPORT_PERIOD_US.
 */
#ifndef REQUEST_REPORT_H
#define REQUEST_REPORT_H

#include <stdint.h>

#include "model/name.h"
#include "model/request.h"

#define REQUEST_REPORT_PERIOD_US 100000

/* Counts of sub-requests of one kind to one version of a service. */
struct version_counts {
	char service[NAME_BYTES];
	char version[NAME_BYTES];
	enum request_op op;
	/* Those that were answered, failed or were given up as slow. */
	uint32_t requests;
	uint32_t failures;
	/* Took longer than the index's hedge delay at the time of sending. */
	uint32_t slow;
	/* Time of those that did not fail. */
	uint64_t service_us_sum;
};

/* Counts of answers to one customer; each answer counts in one field. */
struct customer_counts {
	char customer[NAME_BYTES];
	/* Complete and before the deadline. */
	uint32_t good;
	/* Complete, but after the deadline. */
	uint32_t late;
	/* Some shards are missing. */
	uint32_t partial;
	uint32_t refused;
	/* Lookups that were answered with outcome_unknown. */
	uint32_t lost;
};

enum target_notice_kind {
	TARGET_NOTICE_COLD,
	TARGET_NOTICE_WARM,
	TARGET_NOTICE_LEAVING
};

/* State of a target that other hosts should know of. */
struct target_notice {
	char target[NAME_BYTES];
	/* Process of the target that has the state. */
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

void request_report_free(struct request_report *r);

#endif
