#include "codec/peer_msg_state.h"

#include <string.h>

#include "model/store_pos.h"

/*
 * Age in ms that is sent for a time that is unknown (0) or at least this long
 * ago; the receiver takes the time as unknown.
 */
#define AGE_NONE UINT32_MAX

static uint32_t age_from_time_ms(int64_t at_us, int64_t now_us)
{
	int64_t ms = (now_us - at_us) / US_PER_MS;

	if (!at_us || ms >= AGE_NONE)
		return AGE_NONE;
	return (uint32_t)util_max_i64(ms, 0);
}

static int64_t time_from_age_us(uint32_t age_ms, int64_t now_us)
{
	if (age_ms == AGE_NONE)
		return 0;
	return util_max_i64(1, now_us - (int64_t)age_ms * US_PER_MS);
}

/* Reads an era, if the message goes on, or writes it. */
static bool_t xdr_era(XDR *x, u_quad_t *era, uint32_t *has_era)
{
	if (x->x_op == XDR_DECODE) {
		*has_era = xdr_u_hyper(x, era);
		if (!*has_era)
			*era = 0;
		return *era <= STORE_ERA_MAX;
	}
	return x->x_op != XDR_ENCODE || xdr_u_hyper(x, era);
}

bool_t xdr_peer_msg_follow(XDR *x, struct peer_msg_follow *m)
{
	return xdr_peer_follow_args(x, &m->args) &&
	       xdr_era(x, &m->era, &m->has_era);
}

bool_t xdr_peer_msg_state(XDR *x, struct peer_msg_state *m)
{
	if (!xdr_peer_state(x, &m->state) || !xdr_era(x, &m->era, &m->has_era))
		return FALSE;
	if (x->x_op == XDR_DECODE) {
		if (!xdr_u_int(x, &m->has_deletions))
			m->has_deletions = 0;
		return TRUE;
	}
	return x->x_op != XDR_ENCODE || xdr_u_int(x, &m->has_deletions);
}

void peer_msg_from_store_update(const struct store_update *u,
				int64_t received_us, int64_t now_us,
				struct peer_msg_state *m)
{
	peer_state *out = &m->state;
	uint32_t i;

	memset(m, 0, sizeof(*m));
	m->era = store_pos_era(u->rev);
	m->has_deletions = u->has_deletions;
	out->rev = store_pos_rev(u->rev);
	out->full = u->is_full;
	out->age_ms = age_from_time_ms(u->confirmed_us, now_us);
	out->returned_ms = age_from_time_ms(u->regained_us, now_us);
	out->held_ms = age_from_time_ms(received_us, now_us);
	out->entries.entries_val =
		util_alloc(u->pair_count, sizeof(peer_entry));
	out->entries.entries_len = u->pair_count;
	for (i = 0; i < u->pair_count; i++) {
		peer_entry *e = &out->entries.entries_val[i];

		e->key = u->pairs[i].key;
		e->rev = store_pos_rev(u->pairs[i].rev);
		e->deleted = !u->pairs[i].value;
		e->value.value_val = u->pairs[i].value;
		e->value.value_len = e->deleted ? 0 : u->pairs[i].value_bytes;
	}
}

void peer_msg_state_free(struct peer_msg_state *x)
{
	free(x->state.entries.entries_val);
	memset(x, 0, sizeof(*x));
}

static int read_entry(peer_entry *e, uint64_t era, struct kv_pair *out)
{
	/* A listing of several pages may name later revisions than its own. */
	if (!e->key || !e->key[0] || e->deleted > 1 || e->rev > STORE_REV_MAX ||
	    !util_copy_str(out->key, sizeof(out->key), e->key))
		return 0;
	out->rev = store_pos(era, e->rev);
	if (e->deleted)
		return 1;
	out->value_bytes = e->value.value_len;
	out->value = util_alloc((size_t)out->value_bytes + 1, 1);
	if (out->value_bytes)
		memcpy(out->value, e->value.value_val, out->value_bytes);
	return 1;
}

struct store_update *peer_msg_to_store_update(struct peer_msg_state *m,
					      int64_t sent_us, int64_t now_us,
					      struct err *err)
{
	peer_state *x = &m->state;
	uint64_t era = m->has_era ? m->era : 0;
	struct store_update *u = util_alloc(1, sizeof(*u));
	/*
	 * Time that the call and the answer spent in the network. All of it may
	 * belong to the answer, so that the ages are counted back from the
	 * earliest time at which the peer can have answered.
	 */
	int64_t transit_us = now_us - sent_us - (int64_t)x->held_ms * US_PER_MS;
	int64_t answered_us = now_us - util_max_i64(transit_us, 0);
	uint32_t n = x->entries.entries_len;
	uint32_t i;

	if (x->rev > STORE_REV_MAX) {
		err_set(err, ERR_PEER_MESSAGE, "revision out of range");
		store_update_free(u);
		return NULL;
	}
	u->rev = store_pos(era, x->rev);
	u->is_full = x->full != 0;
	u->has_deletions = m->has_deletions != 0;
	u->confirmed_us = time_from_age_us(x->age_ms, answered_us);
	u->regained_us = time_from_age_us(x->returned_ms, answered_us);
	u->pairs = util_alloc(n, sizeof(u->pairs[0]));
	for (i = 0; i < n; i++) {
		if (!read_entry(&x->entries.entries_val[i], era,
				&u->pairs[i])) {
			err_set(err, ERR_PEER_MESSAGE,
				"entries missing or out of range");
			store_update_free(u);
			return NULL;
		}
		u->pair_count++;
	}
	return u;
}

void peer_msg_from_health(const struct target_health_list *l,
			  peer_target *targets, peer_health *out)
{
	uint32_t i;

	out->targets.targets_len = l->count;
	out->targets.targets_val = targets;
	for (i = 0; i < l->count; i++)
		targets[i] = (peer_target){ l->entries[i].key,
					    l->entries[i].calls,
					    l->entries[i].failed_permille,
					    l->entries[i].slowness_milli };
}

void peer_msg_to_health(const peer_health *x, struct target_health_list *out)
{
	uint32_t i;

	out->count = util_min_u32(x->targets.targets_len, TARGET_HEALTH_MAX);
	for (i = 0; i < out->count; i++) {
		const peer_target *t = &x->targets.targets_val[i];

		out->entries[i] = (struct target_health){
			.key = t->key,
			.calls = t->calls,
			.failed_permille =
				util_min_u32(t->failed_permille, PERMILLE),
			.slowness_milli = t->slowness_milli
		};
	}
}
