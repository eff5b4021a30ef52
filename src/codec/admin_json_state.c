/* Encoders of states of data centres, rollouts and hosts; see admin_json.h. */
#include <jansson.h>

#include "codec/admin_json.h"

static const char *const contact_names[] = {
	[EVACUATION_CONTACT_LIVE] = "live",
	[EVACUATION_CONTACT_SUSPECT] = "suspect",
	[EVACUATION_CONTACT_GONE] = "gone",
	[EVACUATION_CONTACT_LEAVING] = "leaving",
};

static json_t *ok_new(void)
{
	return json_pack("{s:i,s:s}", "code", 0, "error", "OK");
}

/*
 * Text as a JSON string; "?" when it is not UTF-8, such as a reason that was
 * truncated within a character.
 */
static json_t *text_value(const char *text)
{
	json_t *value = json_string(text);

	return value ? value : json_string("?");
}

static json_t *dc_object(const struct evacuation_status *s)
{
	const char *kind = s->kind == EVACUATION_DATA_CENTRE ? "data_centre"
							     : "host";

	return json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", kind, s->name,
			 "state", s->state == EVACUATION_OUT ? "out" : "in",
			 "revision", (json_int_t)s->rev, "share_permille",
			 (json_int_t)s->share_permille, "hosts",
			 (json_int_t)s->host_count, "confirmed",
			 (json_int_t)s->confirmed_count, "waiting",
			 (json_int_t)s->waiting_count, "not_in_contact",
			 (json_int_t)s->not_in_contact_count, "complete",
			 (int)s->complete);
}

static char *dump(json_t *obj)
{
	char *text = json_dumps(obj, JSON_COMPACT);

	json_decref(obj);
	return text;
}

char *admin_json_dc(const struct evacuation_status *s, const char *text)
{
	json_t *obj = ok_new();

	json_object_update_new(obj, dc_object(s));
	json_object_set_new(obj, "text", json_string(text));
	return dump(obj);
}

static json_t *rollout_object(const struct admin_json_rollout *r)
{
	const struct rollout_item *item = r->item;
	json_t *obj = json_pack(
		"{s:s,s:s,s:s,s:I,s:I,s:s,s:s,s:I,s:I,s:I,s:I}", "service",
		item->service, "from", item->from, "to", item->to,
		"finish_by_ms", (json_int_t)item->finish_by_ms,
		"share_permille", (json_int_t)item->share_permille, "state",
		rollout_state_name(item->state), "reason", item->reason,
		"revision", (json_int_t)r->rev, "share_here_permille",
		(json_int_t)r->share_here_permille, "score_milli",
		(json_int_t)r->score_milli, "threshold_milli",
		(json_int_t)r->threshold_milli);

	json_object_set_new(obj, "reason", text_value(item->reason));
	json_object_set_new(obj, "bad",
			    r->bad_reason ? text_value(r->bad_reason)
					  : json_null());
	return obj;
}

char *admin_json_rollout(const struct admin_json_rollout *r)
{
	json_t *obj = ok_new();

	json_object_update_new(obj, rollout_object(r));
	return dump(obj);
}

static json_t *host_object(const struct evacuation_host *h)
{
	return json_pack("{s:s,s:s,s:s,s:I}", "host", h->host, "data_centre",
			 h->data_centre, "state", contact_names[h->contact],
			 "revision", (json_int_t)h->adopted_rev);
}

char *admin_json_status(const struct admin_json_status *s)
{
	json_t *obj = ok_new();
	json_t *hosts = json_array();
	json_t *dcs = json_array();
	json_t *rollouts = json_array();
	uint32_t i;

	for (i = 0; i < s->host_count; i++)
		json_array_append_new(hosts, host_object(&s->hosts[i]));
	for (i = 0; i < s->dc_count; i++)
		json_array_append_new(dcs, dc_object(&s->dcs[i]));
	for (i = 0; i < s->rollout_count; i++)
		json_array_append_new(rollouts,
				      rollout_object(&s->rollouts[i]));
	json_object_set_new(obj, "host", json_string(s->host));
	json_object_set_new(obj, "data_centre", json_string(s->data_centre));
	json_object_set_new(obj, "revision", json_integer((json_int_t)s->rev));
	json_object_set_new(obj, "store",
			    json_string(s->store_up ? "up" : "down"));
	json_object_set_new(obj, "hosts", hosts);
	json_object_set_new(obj, "out_or_returning", dcs);
	json_object_set_new(obj, "rollouts", rollouts);
	json_object_set_new(obj, "text", json_string(s->text));
	return dump(obj);
}
