#include "model/contract.h"

#include <string.h>

/*
 * Covers scheduling and one exchange of messages between data centres of a
 * region.
 */
#define HOP_MARGIN_MIN_US 1000
/* Part of the time for the answer. */
#define HOP_MARGIN_PERMILLE 20

static enum err_code check_range(const char *field, uint32_t value,
				 uint32_t lowest, uint32_t highest,
				 struct err *err)
{
	if (value >= lowest && value <= highest)
		return ERR_OK;
	return err_set(err, ERR_CFG_FIELD, "%s is %u, accepted %u to %u", field,
		       value, lowest, highest);
}

enum err_code contract_check(const struct contract *c, struct err *err)
{
	uint32_t i;
	enum err_code code;

	if (!util_name_ok(c->customer, NAME_BYTES - 1))
		return err_set(err, ERR_CFG_FIELD,
			       "customer is empty or has characters other "
			       "than a-z A-Z 0-9 . _ : -");
	if (c->index_count < 1 || c->index_count > CONTRACT_INDEXES_MAX)
		return err_set(err, ERR_CFG_FIELD,
			       "indexes has %u entries, accepted 1 to %u",
			       c->index_count, CONTRACT_INDEXES_MAX);
	for (i = 0; i < c->index_count; i++) {
		if (!util_name_ok(c->indexes[i], NAME_BYTES - 1))
			return err_set(err, ERR_CFG_FIELD,
				       "indexes[%u] is not a valid name, "
				       "accepted "
				       "1 to 64 of a-z A-Z 0-9 . _ : -",
				       i);
	}
#define DEF(field, lowest, highest)                                 \
	code = check_range(#field, c->field, lowest, highest, err); \
	if (code != ERR_OK)                                         \
		return code;
	CONTRACT_FIELDS(DEF)
#undef DEF
	return ERR_OK;
}

int contract_permits(const struct contract *c, const char *index)
{
	uint32_t i;

	for (i = 0; i < c->index_count; i++) {
		if (strcmp(c->indexes[i], index) == 0)
			return 1;
	}
	return 0;
}

int64_t contract_hop_margin_us(const struct contract *c)
{
	int64_t share_us = (int64_t)c->answer_ms * HOP_MARGIN_PERMILLE;

	return util_max_i64(HOP_MARGIN_MIN_US, share_us * US_PER_MS / PERMILLE);
}
