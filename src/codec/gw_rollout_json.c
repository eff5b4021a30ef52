#include "codec/gw_rollout_json.h"

#include <jansson.h>
#include <string.h>

#include "model/store_pos.h"

static const char *const state_names[GW_ROLLOUT_STATE_COUNT] = {
#define DEF(id, name) [id] = name,
	GW_ROLLOUT_STATES(DEF)
#undef DEF
};

char *gw_rollout_json_encode(const struct gw_rollout *r)
{
	json_t *doc =
		json_pack("{s:s,s:I,s:s,s:I,s:I,s:s}", "to", r->to, "order_rev",
			  (json_int_t)store_pos_rev(r->order_rev), "state",
			  state_names[r->state], "share_permille",
			  (json_int_t)r->share_permille, "elapsed_ms",
			  (json_int_t)r->elapsed_ms, "reason", r->reason);
	uint64_t era = store_pos_era(r->order_rev);
	json_t *barred = json_array();
	char *text;
	uint32_t i;

	for (i = 0; i < r->barred.count; i++)
		json_array_append_new(barred,
				      json_string(r->barred.versions[i]));
	if (era)
		json_object_set_new(doc, "order_era",
				    json_integer((json_int_t)era));
	if (r->barred.count)
		json_object_set(doc, "barred", barred);
	json_decref(barred);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

/* Adds the names in @list, which is NULL if the document has none. */
static int decode_barred(const json_t *list, struct gw_barred *out)
{
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const char *version =
			json_string_value(json_array_get(list, i));

		if (!version || !version[0] || strlen(version) >= NAME_BYTES)
			return 0;
		gw_barred_add(out, version);
	}
	return !list || json_is_array(list);
}

enum err_code gw_rollout_json_decode(const char *service, const char *json,
				     uint32_t json_bytes,
				     struct gw_rollout *out, struct err *err)
{
	json_t *doc = json_loadb(json, json_bytes, 0, NULL);
	const char *to = "";
	const char *state = "";
	const char *reason = "";
	json_int_t order_rev = 0;
	/* Hosts of earlier builds do not state it. */
	json_int_t order_era = 0;
	json_int_t share = -1;
	json_int_t elapsed_ms = 0;
	uint32_t i = 0;
	int ok = doc && json_unpack(doc, "{s:s,s:I,s:s,s:I,s:I,s:s,s?I}", "to",
				    &to, "order_rev", &order_rev, "state",
				    &state, "share_permille", &share,
				    "elapsed_ms", &elapsed_ms, "reason",
				    &reason, "order_era", &order_era) == 0;

	memset(out, 0, sizeof(*out));
	while (i < countof(state_names) && strcmp(state, state_names[i]) != 0)
		i++;
	ok = ok && i < countof(state_names) && order_rev > 0 &&
	     order_rev <= (json_int_t)STORE_REV_MAX && order_era >= 0 &&
	     order_era <= (json_int_t)STORE_ERA_MAX && share >= 0 &&
	     share <= PERMILLE && elapsed_ms >= 0 && elapsed_ms <= UINT32_MAX &&
	     to[0] && util_copy_str(out->to, sizeof(out->to), to) &&
	     util_copy_str(out->service, sizeof(out->service), service);
	/* A reason that is too long is truncated and accepted. */
	util_copy_str(out->reason, sizeof(out->reason), reason);
	out->state = (enum gw_rollout_state)i;
	out->order_rev = store_pos((uint64_t)order_era, (uint64_t)order_rev);
	out->share_permille = (uint32_t)share;
	out->elapsed_ms = (uint32_t)elapsed_ms;
	ok = ok && decode_barred(json_object_get(doc, "barred"), &out->barred);
	json_decref(doc);
	if (!ok)
		return err_set(err, ERR_BAD_FIELD,
			       "state of the rollout of '%.64s' is not "
			       "understood",
			       service);
	return ERR_OK;
}
