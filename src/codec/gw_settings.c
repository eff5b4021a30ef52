#include "codec/gw_settings.h"

#include <jansson.h>
#include <string.h>

#include "base/addr.h"

#define GRACE_S_MAX 600
/* Where the deployment bounds no rollouts; half of what others allow. */
#define EXPOSURE_DEFAULT_PERMILLE 50
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

	if (!s || !s[0] || !util_copy_str(out, size_bytes, s))
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

/* 1 if @both is ADDRESS:PORT with an IP number. */
static int read_endpoint(const char *both, struct gw_endpoint *out)
{
	char text[ADDRESS_BYTES + 8];
	struct sockaddr_storage sa;
	char *colon;
	long port;

	if (!both || !util_copy_str(text, sizeof(text), both))
		return 0;
	colon = strrchr(text, ':');
	if (!colon)
		return 0;
	*colon = '\0';
	port = strtol(colon + 1, NULL, 10);
	if (port < 1 || port > UINT16_MAX ||
	    !util_copy_str(out->address, sizeof(out->address), text) ||
	    !addr_parse(out->address, (uint16_t)port, &sa))
		return 0;
	out->port = (uint16_t)port;
	return 1;
}

static void endpoint(struct reader *r, const char *field,
		     struct gw_endpoint *out)
{
	const json_t *v = json_object_get(r->doc, field);

	if (!read_endpoint(json_string_value(v), out))
		bad(r, field, "ADDRESS:PORT with an IP number");
}

/* The peer address and the seeds may be left out. */
static void peers(struct reader *r, struct gw_settings *out)
{
	const json_t *peer = json_object_get(r->doc, "peer_address");
	const json_t *seeds = json_object_get(r->doc, "seeds");
	size_t i;

	if (peer && json_string_length(peer) != 0)
		endpoint(r, "peer_address", &out->peer_endpoint);
	if (seeds && !json_is_null(seeds) && !json_is_array(seeds))
		bad(r, "seeds", "a list of ADDRESS:PORT");
	for (i = 0; i < json_array_size(seeds) && i < GW_SETTINGS_SEEDS_MAX;
	     i++) {
		if (!read_endpoint(json_string_value(json_array_get(seeds, i)),
				   &out->seeds[out->seed_count++]))
			bad(r, "seeds", "a list of ADDRESS:PORT");
	}
}

enum err_code gw_settings_load(const char *path, struct gw_settings *out,
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
	endpoint(&r, "caller_address", &out->caller_endpoint);
	endpoint(&r, "ready_address", &out->ready_endpoint);
	endpoint(&r, "store_address", &out->store_endpoint);
	peers(&r, out);
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
	out->exposure_permille = EXPOSURE_DEFAULT_PERMILLE;
	if (json_object_get(doc, "canary_share"))
		out->exposure_permille =
			(uint32_t)(number(&r, "canary_share", 0, 1) * PERMILLE);
	json_decref(doc);
	return err->code;
}
