#include "fault.h"

#include <stddef.h>
#include <string.h>

/* The longest lease (24 h), so that the fault lease_jump can end any lease. */
#define DELAY_MS_MAX 86400000
#define FACTOR_MAX 100000

/* DEF(field, least, most, default) */
#define FAULT_NUMBERS(DEF)                    \
	DEF(permille, 0, PERMILLE, PERMILLE)  \
	DEF(times, 1, UINT32_MAX, UINT32_MAX) \
	DEF(above, 0, UINT32_MAX, 0)          \
	DEF(factor, 0, FACTOR_MAX, 1)         \
	DEF(delay_ms, 0, DELAY_MS_MAX, 0)     \
	DEF(status, 200, 599, 500)            \
	DEF(requests, 0, UINT32_MAX, 50)      \
	DEF(slots, 1, 1000, 1)                \
	DEF(connections, 1, 100000, 1)        \
	DEF(active, 0, UINT32_MAX, 0)         \
	DEF(queued, 0, UINT32_MAX, 0)

/* A number in a control request, with its accepted range. */
struct number_field {
	const char *name;
	size_t offset;
	int64_t least;
	int64_t most;
	uint32_t default_value;
};

static const struct number_field number_fields[] = {
#define DEF(field, least, most, default_value) \
	{ #field, offsetof(struct fault, field), least, most, default_value },
	FAULT_NUMBERS(DEF)
#undef DEF
};

static enum err_code decode_number(json_t *body, const struct number_field *n,
				   struct fault *f, struct err *err)
{
	json_t *value = json_object_get(body, n->name);
	uint32_t *field = (uint32_t *)((char *)f + n->offset);

	*field = n->default_value;
	if (!value)
		return ERR_OK;
	if (!json_is_integer(value) || json_integer_value(value) < n->least ||
	    json_integer_value(value) > n->most)
		return err_set(err, ERR_BAD_FIELD, "%s is %lld to %lld",
			       n->name, (long long)n->least,
			       (long long)n->most);
	*field = (uint32_t)json_integer_value(value);
	return ERR_OK;
}

static enum err_code decode_text(json_t *body, const char *name, char *out,
				 size_t size_bytes, struct err *err)
{
	json_t *value = json_object_get(body, name);

	if (!value)
		return ERR_OK;
	if (!json_is_string(value) ||
	    !util_copy_str(out, size_bytes, json_string_value(value)))
		return err_set(err, ERR_BAD_FIELD,
			       "%s is a string below %zu bytes", name,
			       size_bytes);
	return ERR_OK;
}

static enum err_code decode_after(json_t *body, int64_t now_us, struct fault *f,
				  struct err *err)
{
	json_t *after = json_object_get(body, "after_ms");

	f->from_us = now_us;
	if (!after)
		return ERR_OK;
	if (!json_is_integer(after) || json_integer_value(after) < 0 ||
	    json_integer_value(after) > DELAY_MS_MAX)
		return err_set(err, ERR_BAD_FIELD, "after_ms is 0 to %d",
			       DELAY_MS_MAX);
	f->from_us += json_integer_value(after) * US_PER_MS;
	return ERR_OK;
}

enum err_code fault_decode(json_t *body, int64_t now_us, struct fault *f,
			   struct err *err)
{
	json_t *on = json_object_get(body, "on");
	enum err_code code;
	uint32_t i;

	memset(f, 0, sizeof(*f));
	if (on && !json_is_boolean(on))
		return err_set(err, ERR_BAD_FIELD, "on is true or false");
	f->on = !on || json_is_true(on);
	for (i = 0; i < countof(number_fields); i++) {
		code = decode_number(body, &number_fields[i], f, err);
		if (code != ERR_OK)
			return code;
	}
	code = decode_text(body, "route", f->route, sizeof(f->route), err);
	if (code == ERR_OK)
		code = decode_text(body, "value", f->value, sizeof(f->value),
				   err);
	if (code == ERR_OK)
		code = decode_after(body, now_us, f, err);
	return code;
}

int fault_index(json_t *body, const char *const *names, uint32_t count,
		struct err *err)
{
	const char *name = json_string_value(json_object_get(body, "fault"));
	uint32_t i;

	for (i = 0; name && i < count; i++) {
		if (strcmp(name, names[i]) == 0)
			return (int)i;
	}
	err_set(err, ERR_BAD_FIELD, "no fault named %s",
		name ? name : "(none)");
	return -1;
}

int fault_fires(struct fault *f, struct rng *rng, const char *route,
		uint32_t load, int64_t now_us)
{
	if (!f->on || f->times == 0 || now_us < f->from_us || load < f->above)
		return 0;
	if (f->route[0] && strcmp(f->route, route) != 0)
		return 0;
	if (rng_below(rng, PERMILLE) >= f->permille)
		return 0;
	if (f->times != UINT32_MAX)
		f->times--;
	return 1;
}
