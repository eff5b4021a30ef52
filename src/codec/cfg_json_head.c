#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "codec/cfg_json.h"

/* Revision in decimal, a dash and a change ID, with the NUL. */
#define REV_CHANGE_BYTES 40
/* Change ID: 16 hexadecimal digits and the NUL. */
#define CHANGE_BYTES 17

static void format_change(uint64_t change, char *out)
{
	snprintf(out, CHANGE_BYTES, "%016" PRIx64, change);
}

static int parse_change(const char *text, uint64_t *out)
{
	uint32_t i;

	if (!text || strlen(text) != CHANGE_BYTES - 1)
		return 0;
	*out = 0;
	for (i = 0; i < CHANGE_BYTES - 1; i++) {
		const char *digits = "0123456789abcdef";
		const char *at = strchr(digits, text[i]);

		if (!at)
			return 0;
		*out = *out << 4 | (uint64_t)(at - digits);
	}
	return 1;
}

static enum err_code read_entry(const char *name, const json_t *v,
				uint32_t deleted, struct cfg_head *h,
				struct err *err)
{
	const char *text = json_string_value(v);
	const char *dash = text ? strchr(text, '-') : NULL;
	struct cfg_head_entry entry = { .is_deleted = deleted };
	char *end = NULL;

	if (dash)
		entry.rev = strtoull(text, &end, 10);
	util_copy_str(entry.name, sizeof(entry.name), name);
	if (!cfg_item_name_ok(name) || !dash || end != dash || entry.rev < 1 ||
	    entry.rev > h->rev || !parse_change(dash + 1, &entry.change_id))
		return err_set(err, ERR_CFG_FIELD,
			       "items: %s is not valid, accepted a revision 1 "
			       "to %" PRIu64 " with a change ID",
			       name, h->rev);
	cfg_head_put(h, &entry);
	return ERR_OK;
}

/* Reads the entries of @map: the field "items", or "gone" with @deleted 1. */
static enum err_code read_entries(json_t *map, uint32_t deleted,
				  struct cfg_head *h, struct err *err)
{
	const char *name;
	json_t *v;

	if (json_object_size(map) > CFG_HEAD_ITEMS_MAX)
		return err_set(err, ERR_CFG_FIELD,
			       "items (or gone) has %zu entries, accepted 0 to "
			       "%u",
			       json_object_size(map), CFG_HEAD_ITEMS_MAX);
	json_object_foreach(map, name, v)
	{
		if (read_entry(name, v, deleted, h, err) != ERR_OK)
			return ERR_CFG_FIELD;
	}
	return ERR_OK;
}

static enum err_code read_recent(const json_t *list, struct cfg_head *h,
				 struct err *err)
{
	size_t n = json_array_size(list);
	size_t i;

	if (n > CFG_HEAD_RECENT_MAX || n > h->rev || (h->rev > 0 && n == 0))
		return err_set(err, ERR_CFG_FIELD,
			       "recent has %zu entries, accepted 1 to %u and "
			       "not above rev",
			       n, CFG_HEAD_RECENT_MAX);
	for (i = 0; i < n; i++) {
		const char *s = json_string_value(json_array_get(list, i));

		if (!parse_change(s, &h->recent_change_ids[i]))
			return err_set(err, ERR_CFG_FIELD,
				       "recent[%zu] is not valid, accepted 16 "
				       "hexadecimal digits",
				       i);
	}
	h->recent_count = (uint32_t)n;
	return ERR_OK;
}

struct cfg_head *cfg_json_decode_head(const char *text, struct err *err)
{
	json_t *obj = cfg_json_load(text, err);
	struct cfg_head *h;
	enum err_code code;

	if (!obj)
		return NULL;
	h = cfg_head_new();
	code = cfg_json_get_u64(obj, "rev", 1, INT64_MAX, -1, &h->rev, err);
	if (code == ERR_OK)
		code = read_recent(json_object_get(obj, "recent"), h, err);
	if (code == ERR_OK)
		code = read_entries(json_object_get(obj, "items"), 0, h, err);
	if (code == ERR_OK)
		code = read_entries(json_object_get(obj, "gone"), 1, h, err);
	json_decref(obj);
	if (code == ERR_OK)
		return h;
	cfg_head_free(h);
	return NULL;
}

char *cfg_json_encode_head(const struct cfg_head *h)
{
	json_t *items = json_object();
	json_t *gone = json_object();
	json_t *recent = json_array();
	char change[CHANGE_BYTES];
	char text[REV_CHANGE_BYTES];
	uint32_t i;

	for (i = 0; i < h->recent_count; i++) {
		format_change(h->recent_change_ids[i], change);
		json_array_append_new(recent, json_string(change));
	}
	for (i = 0; i < h->entry_count; i++) {
		const struct cfg_head_entry *e = &h->entries[i];

		format_change(e->change_id, change);
		snprintf(text, sizeof(text), "%" PRIu64 "-%s", e->rev, change);
		json_object_set_new(e->is_deleted ? gone : items, e->name,
				    json_string(text));
	}
	return cfg_json_dump(json_pack("{s:I,s:o,s:o,s:o}", "rev",
				       (json_int_t)h->rev, "recent", recent,
				       "items", items, "gone", gone));
}

struct cfg_item *cfg_json_decode_item(const char *text, struct err *err)
{
	json_t *obj = cfg_json_load(text, err);
	struct cfg_item item = { 0 };
	struct cfg_item *out = NULL;
	const json_t *doc;
	enum err_code code;

	if (!obj)
		return NULL;
	code = cfg_json_get_text(obj, "name", item.name, sizeof(item.name),
				 err);
	if (code == ERR_OK)
		code = cfg_json_get_u64(obj, "rev", 1, INT64_MAX, -1, &item.rev,
					err);
	if (code == ERR_OK)
		code = cfg_json_get_text(obj, "who", item.who, sizeof(item.who),
					 err);
	if (code == ERR_OK &&
	    !parse_change(json_string_value(json_object_get(obj, "change")),
			  &item.change_id))
		code = err_set(err, ERR_CFG_FIELD,
			       "change is not valid, accepted 16 hexadecimal "
			       "digits");
	doc = json_object_get(obj, "doc");
	if (code == ERR_OK && !cfg_item_name_ok(item.name))
		code = err_set(err, ERR_CFG_FIELD,
			       "name is not valid, accepted a kind, a slash "
			       "and a name");
	if (code == ERR_OK && !json_is_object(doc))
		code = err_set(err, ERR_CFG_FIELD,
			       "doc is missing, accepted a JSON object");
	if (code == ERR_OK) {
		char *json CLEANUP_FREE = json_dumps(doc, JSON_COMPACT);

		out = cfg_item_new(item.name, item.rev, item.change_id,
				   item.who, json);
	}
	json_decref(obj);
	return out;
}

char *cfg_json_encode_item(const struct cfg_item *item)
{
	json_t *doc = json_loads(item->json, 0, NULL);
	char change[CHANGE_BYTES];

	format_change(item->change_id, change);
	return cfg_json_dump(json_pack("{s:s,s:I,s:s,s:s,s:o}", "name",
				       item->name, "rev", (json_int_t)item->rev,
				       "change", change, "who", item->who,
				       "doc", doc ? doc : json_object()));
}

/*
 * The check of each kind decodes @json as a document of that kind. If it
 * returns ERR_OK, @doc_name is the name that the document contains.
 */
static enum err_code check_contract(const char *json, char *doc_name,
				    struct err *err)
{
	struct contract *c CLEANUP_FREE = util_alloc(1, sizeof(*c));
	enum err_code code = cfg_json_decode_contract(json, c, err);

	util_copy_str(doc_name, NAME_BYTES, c->customer);
	return code;
}

static enum err_code check_layout(const char *json, char *doc_name,
				  struct err *err)
{
	struct layout *l = cfg_json_decode_layout(json, err);

	if (!l)
		return err->code;
	util_copy_str(doc_name, NAME_BYTES, l->index);
	layout_free(l);
	return ERR_OK;
}

static enum err_code check_dc(const char *json, char *doc_name, struct err *err)
{
	struct dc_item d;
	enum err_code code = cfg_json_decode_dc(json, &d, err);

	util_copy_str(doc_name, NAME_BYTES, d.data_centre);
	return code;
}

static enum err_code check_host(const char *json, char *doc_name,
				struct err *err)
{
	struct host_item h;
	enum err_code code = cfg_json_decode_host(json, &h, err);

	util_copy_str(doc_name, NAME_BYTES, h.host);
	return code;
}

static enum err_code check_rollout(const char *json, char *doc_name,
				   struct err *err)
{
	struct rollout_item r;
	enum err_code code = cfg_json_decode_rollout(json, &r, err);

	util_copy_str(doc_name, NAME_BYTES, r.service);
	return code;
}

static const struct item_kind {
	const char *prefix;
	enum err_code (*check)(const char *json, char *doc_name,
			       struct err *err);
} kinds[] = {
	{ "contract/", check_contract },
	{ "layout/", check_layout },
	{ "dc/", check_dc },
	{ "host/", check_host },
	{ "rollout/", check_rollout },
};

enum err_code cfg_json_check_item(const char *name, const char *json,
				  struct err *err)
{
	char doc_name[NAME_BYTES] = "";
	struct err doc_err = { 0 };
	enum err_code code;
	uint32_t i;

	for (i = 0; i < countof(kinds); i++) {
		const char *bare_name = name + strlen(kinds[i].prefix);

		if (strncmp(name, kinds[i].prefix, strlen(kinds[i].prefix)) !=
		    0)
			continue;
		if (!util_name_ok(bare_name, NAME_BYTES - 1))
			break;
		if (!json)
			return ERR_OK;
		code = kinds[i].check(json, doc_name, &doc_err);
		if (code != ERR_OK)
			return err_set(err, code, "%s", doc_err.detail);
		if (strcmp(doc_name, bare_name) == 0)
			return ERR_OK;
		return err_set(err, ERR_CFG_FIELD,
			       "name in the document is %s, accepted %s",
			       doc_name, bare_name);
	}
	return err_set(err, ERR_CFG_FIELD,
		       "item name is not valid, accepted contract/, layout/, "
		       "dc/, host/ or rollout/ and a name");
}
