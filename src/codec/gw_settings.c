#include "codec/gw_settings.h"

#include <jansson.h>
#include <string.h>

#include "base/addr.h"

#define GRACE_S_MAX 600
/* Used when the deployment sets no memory_mb. */
#define MEMORY_DEFAULT_MB 256
/*
 * Used when the deployment sets no canary_share; half of what deployments that
 * set it allow.
 */
#define EXPOSURE_DEFAULT_PERMILLE 50
/*
 * Lower bound of config_apply_ms and drain_ms; in less time no host could
 * follow the changes of the store.
 */
#define APPLY_MS_MIN 100

struct reader {
	const json_t *doc;
	struct err *err;
};

/* Sets the error unless an earlier field was refused. */
static void refuse_field(struct reader *r, const char *field,
			 const char *accepted)
{
	if (r->err->code == ERR_OK)
		err_set(r->err, ERR_SETTING, "field '%s', accepted %s", field,
			accepted);
}

static void read_text(struct reader *r, const char *field, char *out,
		      size_t size_bytes)
{
	const char *s = json_string_value(json_object_get(r->doc, field));

	if (!s || !s[0] || !util_copy_str(out, size_bytes, s))
		refuse_field(r, field, "a name of 1 to 63 bytes");
}

static double read_number(struct reader *r, const char *field, double lowest,
			  double highest)
{
	const json_t *v = json_object_get(r->doc, field);
	double n = json_number_value(v);
	char range[64];

	if (json_is_number(v) && n >= lowest && n <= highest)
		return n;
	snprintf(range, sizeof(range), "a number from %g to %g", lowest,
		 highest);
	refuse_field(r, field, range);
	return lowest;
}

/* Returns 1 if @spec is ADDRESS:PORT with an IP number. */
static int parse_endpoint(const char *spec, struct gw_endpoint *out)
{
	char text[ADDRESS_BYTES + 8];
	struct sockaddr_storage sa;
	char *colon;

	if (!spec || !util_copy_str(text, sizeof(text), spec))
		return 0;
	colon = strrchr(text, ':');
	if (!colon)
		return 0;
	*colon = '\0';
	out->port = addr_parse_port(colon + 1);
	return out->port &&
	       util_copy_str(out->address, sizeof(out->address), text) &&
	       addr_parse(out->address, out->port, &sa);
}

static void read_endpoint_field(struct reader *r, const char *field,
				struct gw_endpoint *out)
{
	const json_t *v = json_object_get(r->doc, field);

	if (!parse_endpoint(json_string_value(v), out))
		refuse_field(r, field, "ADDRESS:PORT with an IP number");
}

/* Reads the peer address and the seeds, which are optional. */
static void read_peers(struct reader *r, struct gw_settings *out)
{
	const json_t *peer = json_object_get(r->doc, "peer_address");
	const json_t *seeds = json_object_get(r->doc, "seeds");
	size_t i;

	if (peer && json_string_length(peer) != 0)
		read_endpoint_field(r, "peer_address", &out->peer_endpoint);
	if (seeds && !json_is_null(seeds) && !json_is_array(seeds))
		refuse_field(r, "seeds", "a list of ADDRESS:PORT");
	if (json_array_size(seeds) > GW_SETTINGS_SEEDS_MAX)
		refuse_field(r, "seeds", "a list of up to 8 ADDRESS:PORT");
	for (i = 0; i < json_array_size(seeds) && i < GW_SETTINGS_SEEDS_MAX;
	     i++) {
		if (!parse_endpoint(json_string_value(json_array_get(seeds, i)),
				    &out->seeds[out->seed_count++]))
			refuse_field(r, "seeds", "a list of ADDRESS:PORT");
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
	read_text(&r, "host", out->host, sizeof(out->host));
	read_text(&r, "data_centre", out->data_centre,
		  sizeof(out->data_centre));
	read_endpoint_field(&r, "caller_address", &out->caller_endpoint);
	read_endpoint_field(&r, "ready_address", &out->ready_endpoint);
	read_endpoint_field(&r, "store_address", &out->store_endpoint);
	read_peers(&r, out);
	out->store_reads_per_s =
		(uint32_t)read_number(&r, "store_reads_per_s", 1, 1e6);
	out->store_writes_per_s =
		(uint32_t)read_number(&r, "store_writes_per_s", 1, 1e6);
	out->descriptors = (uint32_t)read_number(&r, "descriptors", 64, 1e7);
	out->memory_mb = MEMORY_DEFAULT_MB;
	if (json_object_get(doc, "memory_mb"))
		out->memory_mb =
			(uint32_t)read_number(&r, "memory_mb", 16, 1e6);
	out->core_permille =
		(uint32_t)(read_number(&r, "core_share", 0.001, 1e3) *
			   PERMILLE);
	if (json_object_get(doc, "link_mbps"))
		out->link_mbps = (uint32_t)read_number(&r, "link_mbps", 0, 1e6);
	out->grace_ms = (uint32_t)(read_number(&r, "grace_s", 0, GRACE_S_MAX) *
				   MS_PER_S);
	out->config_apply_ms =
		(uint32_t)read_number(&r, "config_apply_ms", APPLY_MS_MIN, 1e6);
	out->drain_ms =
		(uint32_t)read_number(&r, "drain_ms", APPLY_MS_MIN, 1e6);
	out->retry_permille =
		(uint32_t)(read_number(&r, "retry_ratio", 0, 10) * PERMILLE);
	out->retry_slack = (uint32_t)read_number(&r, "retry_slack", 0, 1e6);
	out->exposure_permille = EXPOSURE_DEFAULT_PERMILLE;
	if (json_object_get(doc, "canary_share"))
		out->exposure_permille =
			(uint32_t)(read_number(&r, "canary_share", 0, 1) *
				   PERMILLE);
	json_decref(doc);
	return err->code;
}
