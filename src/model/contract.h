/* One customer's contract: the only source of limits. */
#ifndef CONTRACT_H
#define CONTRACT_H

#include <stdint.h>

#include "base/err.h"
#include "model/name.h"

#define CONTRACT_INDEXES_MAX 64

/* DEF(field, lowest, highest): integer fields and their accepted ranges. */
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
/* Time kept back for the network at each hop, in us. */
int64_t contract_hop_margin_us(const struct contract *c);

#endif
