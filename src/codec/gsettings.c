#include "codec/gsettings.h"

#include <jansson.h>
#include <string.h>

#include "base/addr.h"

#define GRACE_S_MAX 600
/* Below this no host could follow the store. */
#define APPLY_MS_MIN 100

struct reader {
	const json_t *doc;
	struct err *err;
};

static void bad(struct reader *r, const char *field, const char *accepted)
{
	if (r->err->code == ERR_OK)
		err_set(r->err, ERR_SETTING, "field '%s', accepted %s", field,
			accepted);
}

static void text(struct reader *r, const char *field, char *out,
		 size_t size_bytes)
{
	const char *s = json_string_value(json_object_get(r->doc, field));

	if (!s || !s[0] || !cu_copy(out, size_bytes, s))
		bad(r, field, "a name of 1 to 63 bytes");
}

static double number(struct reader *r, const char *field, double lowest,
		     double highest)
{
	const json_t *v = json_object_get(r->doc, field);
	double n = json_number_value(v);
	char range[64];

	if (json_is_number(v) && n >= lowest && n <= highest)
		return n;
	snprintf(range, sizeof(range), "a number from %g to %g", lowest,
		 highest);
	bad(r, field, range);
	return lowest;
}

static void endpoint(struct reader *r, const char *field,
		     struct gw_endpoint *out)
{
	char both[ADDRESS_BYTES + 8] = "";
	struct sockaddr_storage sa;
	char *colon;
	long port;

	text(r, field, both, sizeof(both));
	colon = strrchr(both, ':');
	port = colon ? strtol(colon + 1, NULL, 10) : 0;
	if (colon)
		*colon = '\0';
	if (port < 1 || port > UINT16_MAX ||
	    !cu_copy(out->address, sizeof(out->address), both) ||
	    !addr_fill(out->address, (uint16_t)port, &sa)) {
		bad(r, field, "ADDRESS:PORT with an IP number");
		return;
	}
	out->port = (uint16_t)port;
}

enum err_code gsettings_load(const char *path, struct gw_settings *out,
			     struct err *err)
{
	json_error_t where;
	json_t *doc = json_load_file(path, 0, &where);
	struct reader r = { doc, err };

	memset(out, 0, sizeof(*out));
	err_clear(err);
	if (!json_is_object(doc)) {
		json_decref(doc);
		return err_set(err, ERR_SETTING, "%s, line %d: %s", path,
			       doc ? 1 : where.line,
			       doc ? "no JSON object" : where.text);
	}
	text(&r, "host", out->host, sizeof(out->host));
	text(&r, "data_centre", out->data_centre, sizeof(out->data_centre));
	endpoint(&r, "caller_address", &out->caller);
	endpoint(&r, "ready_address", &out->ready);
	endpoint(&r, "store_address", &out->store);
	out->store_reads_per_s =
		(uint32_t)number(&r, "store_reads_per_s", 1, 1e6);
	out->store_writes_per_s =
		(uint32_t)number(&r, "store_writes_per_s", 1, 1e6);
	out->descriptors = (uint32_t)number(&r, "descriptors", 64, 1e7);
	out->core_permille =
		(uint32_t)(number(&r, "core_share", 0.001, 1e3) * PERMILLE);
	out->grace_ms =
		(uint32_t)(number(&r, "grace_s", 0, GRACE_S_MAX) * MS_PER_S);
	out->config_apply_ms =
		(uint32_t)number(&r, "config_apply_ms", APPLY_MS_MIN, 1e6);
	out->drain_ms = (uint32_t)number(&r, "drain_ms", APPLY_MS_MIN, 1e6);
	out->retry_permille =
		(uint32_t)(number(&r, "retry_ratio", 0, 10) * PERMILLE);
	out->retry_slack = (uint32_t)number(&r, "retry_slack", 0, 1e6);
	json_decref(doc);
	return err->code;
}
