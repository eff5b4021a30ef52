/* Contract of one customer; all limits on the customer's requests are in it. */
#ifndef CONTRACT_H
#define CONTRACT_H

#include <stdint.h>

#include "base/err.h"
#include "model/name.h"

#define CONTRACT_INDEXES_MAX 64

/*
 * DEF(field, lowest, highest): integer fields and their accepted ranges.
 * answer_ms: longest time until the answer.
 * min_coverage_permille: least share of the shards that an answer needs.
 * rate_per_s: requests that the customer may send.
 * target_share_permille: part of a host's connections to a target that the
 * customer's sub-requests may use at the same time.
 * extra_load_permille: hedges and retries, relative to the first sub-requests.
 */
#define CONTRACT_FIELDS(DEF)                \
	DEF(answer_ms, 5, 60000)            \
	DEF(min_coverage_permille, 0, 1000) \
	DEF(rate_per_s, 1, 1000000)         \
	DEF(target_share_permille, 1, 1000) \
	DEF(extra_load_permille, 0, 200)

struct contract {
	char customer[NAME_BYTES];
	uint32_t index_count;
	char indexes[CONTRACT_INDEXES_MAX][NAME_BYTES];
#define DEF(field, lowest, highest) uint32_t field;
	CONTRACT_FIELDS(DEF)
#undef DEF
};

/* ERR_OK or ERR_CFG_FIELD with the field and its accepted range in @err. */
enum err_code contract_check(const struct contract *c, struct err *err);
/* 1 if the contract permits @index, else 0. */
int contract_permits(const struct contract *c, const char *index);
/* Time in us that each hop reserves for the network before its deadline. */
int64_t contract_hop_margin_us(const struct contract *c);

#endif
