#include "codec/admin_json.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define CHANGE_ID_BYTES 24

struct admin_json_list {
	json_t *root;
	json_t *items;
};

static char *dump(json_t *obj)
{
	char *text = json_dumps(obj, JSON_COMPACT);

	json_decref(obj);
	return text;
}

/* Answer with the code of @err, or OK when @err is NULL. */
static json_t *answer_new(const struct err *err)
{
	enum err_code code = err ? err->code : ERR_OK;
	json_t *obj = json_object();

	json_object_set_new(obj, "code", json_integer(code));
	json_object_set_new(obj, "error", json_string(err_name(code)));
	return obj;
}

static void set_text(json_t *obj, const char *field, const char *text)
{
	json_t *value = json_string(text);

	/* json_string() returns NULL for text that is not UTF-8. */
	json_object_set_new(obj, field, value ? value : json_string("?"));
}

static void set_number(json_t *obj, const char *field, uint64_t value)
{
	json_object_set_new(obj, field, json_integer((json_int_t)value));
}

static json_t *load_object(const char *text, struct err *err)
{
	json_error_t error;
	json_t *obj = json_loads(text, 0, &error);

	if (json_is_object(obj))
		return obj;
	json_decref(obj);
	err_set(err, ERR_BAD_JSON, "body is not a JSON object");
	return NULL;
}

static enum err_code read_name(const json_t *obj, const char *field, char *out,
			       struct err *err)
{
	const char *text = json_string_value(json_object_get(obj, field));

	if (!util_name_ok(text, NAME_BYTES - 1))
		return err_set(err, ERR_BAD_FIELD,
			       "%s is missing or not valid, accepted 1 to 64 "
			       "of a-z A-Z 0-9 . _ : -",
			       field);
	util_copy_str(out, NAME_BYTES, text);
	return ERR_OK;
}

static enum err_code read_start(const json_t *obj, struct admin_json_start *out,
				struct err *err)
{
	const json_t *finish = json_object_get(obj, "finish_in_s");
	json_int_t seconds = json_integer_value(finish);
	enum err_code code = read_name(obj, "from", out->from, err);

	if (code == ERR_OK)
		code = read_name(obj, "to", out->to, err);
	if (code != ERR_OK)
		return code;
	if (strcmp(out->from, out->to) == 0)
		return err_set(err, ERR_BAD_FIELD,
			       "to is %s, accepted a version other than from",
			       out->to);
	if (!json_is_integer(finish) || seconds < ADMIN_JSON_FINISH_MIN_S ||
	    seconds > ADMIN_JSON_FINISH_MAX_S)
		return err_set(err, ERR_BAD_FIELD,
			       "finish_in_s is missing or out of range, "
			       "accepted %d to %d",
			       ADMIN_JSON_FINISH_MIN_S,
			       ADMIN_JSON_FINISH_MAX_S);
	out->finish_in_s = (uint32_t)seconds;
	return ERR_OK;
}

enum err_code admin_json_start(const char *text, struct admin_json_start *out,
			       struct err *err)
{
	json_t *obj = load_object(text ? text : "", err);
	enum err_code code;

	if (!obj)
		return ERR_BAD_JSON;
	code = read_start(obj, out, err);
	json_decref(obj);
	return code;
}

enum err_code admin_json_decode_reason(const char *text, char *out,
				       size_t size_bytes, struct err *err)
{
	const char *reason;
	json_t *obj;
	int fits;

	out[0] = '\0';
	if (!text || !text[0])
		return ERR_OK;
	obj = load_object(text, err);
	if (!obj)
		return ERR_BAD_JSON;
	reason = json_string_value(json_object_get(obj, "reason"));
	fits = util_copy_str(out, size_bytes, reason ? reason : "");
	json_decref(obj);
	if (fits)
		return ERR_OK;
	return err_set(err, ERR_BAD_FIELD,
		       "reason is too long, accepted 0 to %zu bytes",
		       size_bytes - 1);
}

char *admin_json_error(const struct err *err)
{
	json_t *obj = answer_new(err);

	set_text(obj, "detail", err->detail);
	return dump(obj);
}

char *admin_json_valid_answer(void)
{
	json_t *obj = answer_new(NULL);

	json_object_set_new(obj, "valid", json_true());
	return dump(obj);
}

static void set_change(json_t *obj, const struct change *c)
{
	char id[CHANGE_ID_BYTES];

	snprintf(id, sizeof(id), "r%llu", (unsigned long long)c->rev);
	set_text(obj, "change", id);
	set_number(obj, "revision", c->rev);
	set_text(obj, "item", c->item);
	set_text(obj, "who", c->who);
	set_text(obj, "state", change_state_name(c->state));
	set_text(obj, "statement", c->statement.data ? c->statement.data : "");
	set_number(obj, "hosts", c->host_count);
	set_number(obj, "confirmed", c->confirmed_count);
	set_number(obj, "waiting", c->waiting_count);
	set_number(obj, "not_in_contact", c->not_in_contact_count);
}

char *admin_json_change(const struct change *c)
{
	json_t *obj = answer_new(NULL);

	set_change(obj, c);
	return dump(obj);
}

static void set_item(json_t *obj, const struct cfg_item *item)
{
	json_t *doc = item->json ? json_loads(item->json, 0, NULL) : NULL;

	set_text(obj, "item", item->name);
	set_number(obj, "revision", item->rev);
	set_text(obj, "who", item->who);
	json_object_set_new(obj, "document", doc ? doc : json_null());
}

char *admin_json_item(const struct cfg_item *item)
{
	json_t *obj = answer_new(NULL);

	set_item(obj, item);
	return dump(obj);
}

struct admin_json_list *admin_json_list_new(const char *name)
{
	struct admin_json_list *l = util_alloc(1, sizeof(*l));

	l->root = answer_new(NULL);
	l->items = json_array();
	json_object_set_new(l->root, name, l->items);
	return l;
}

void admin_json_list_free(struct admin_json_list *l)
{
	if (!l)
		return;
	json_decref(l->root);
	free(l);
}

char *admin_json_list_finish(struct admin_json_list *l)
{
	char *text = dump(l->root);

	free(l);
	return text;
}

static json_t *add_element(struct admin_json_list *l)
{
	json_t *obj = json_object();

	json_array_append_new(l->items, obj);
	return obj;
}

void admin_json_list_add_item(struct admin_json_list *l,
			      const struct cfg_item *item)
{
	set_item(add_element(l), item);
}

void admin_json_list_add_change(struct admin_json_list *l,
				const struct change *c)
{
	set_change(add_element(l), c);
}

static json_t *counts_object(const struct slo_counts *c)
{
	json_t *obj = json_object();

	set_number(obj, "good", c->good);
#define DEF(field) set_number(obj, #field, c->field);
	SLO_BAD_KINDS(DEF)
#undef DEF
	return obj;
}

void admin_json_list_add_slo(struct admin_json_list *l,
			     const struct slo_report *r)
{
	json_t *obj = add_element(l);

	set_text(obj, "customer", r->customer);
	set_number(obj, "fast_burn_milli", r->fast_burn_milli);
	set_number(obj, "slow_burn_milli", r->slow_burn_milli);
	set_number(obj, "budget_left_permille", r->budget_left_permille);
	set_text(obj, "spent_by", r->spent_by);
	json_object_set_new(obj, "alarm", json_boolean(r->alarm));
	json_object_set_new(obj, "fast", counts_object(&r->fast));
	json_object_set_new(obj, "slow", counts_object(&r->slow));
}

void admin_json_list_add_diff(struct admin_json_list *l, const char *field,
			      const char *before, const char *after)
{
	json_t *obj = add_element(l);

	set_text(obj, "field", field);
	if (before)
		set_text(obj, "before", before);
	if (after)
		set_text(obj, "after", after);
}

static char *value_text(const json_t *value)
{
	return value ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY |
						 JSON_SORT_KEYS)
		     : NULL;
}

static void compare_field(struct admin_json_list *l, const char *field,
			  const json_t *before, const json_t *after)
{
	char *before_text CLEANUP_FREE = value_text(before);
	char *after_text CLEANUP_FREE = value_text(after);

	if (!before || !after || !json_equal(before, after))
		admin_json_list_add_diff(l, field, before_text, after_text);
}

enum err_code admin_json_list_compare(struct admin_json_list *l,
				      const char *before, const char *after,
				      struct err *err)
{
	json_t *new_obj = load_object(after ? after : "", err);
	json_t *old_obj = before ? json_loads(before, 0, NULL) : NULL;
	const char *field;
	json_t *value;

	if (!new_obj) {
		json_decref(old_obj);
		return ERR_BAD_JSON;
	}
	json_object_foreach(new_obj, field, value)
		compare_field(l, field, json_object_get(old_obj, field), value);
	json_object_foreach(old_obj, field, value)
	{
		if (!json_object_get(new_obj, field))
			compare_field(l, field, value, NULL);
	}
	json_decref(old_obj);
	json_decref(new_obj);
	return ERR_OK;
}
