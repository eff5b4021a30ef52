/* "standin target": reads its options and serves one or more targets. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fleet.h"
#include "mains.h"
#include "opts.h"

#define LINE_BYTES 1024

struct settings {
	struct target_spec spec;
	uint32_t count;
	/*
	 * Path of a file with a target on each line; empty: uses --id, --count.
	 */
	char targets[512];
	/* Part of the instance IDs; empty: the process ID. */
	char run[16];
	uint32_t admin_port;
	uint32_t run_s;
};

#define SPEC(field) offsetof(struct settings, spec.field)
#define SPEC_TEXT(key, field)                                      \
	{                                                          \
		key, OPT_TEXT, SPEC(field), 0,                     \
			sizeof(((struct settings *)0)->spec.field) \
	}
#define SPEC_NUMBER(key, field, least, most)              \
	{                                                 \
		key, OPT_NUMBER, SPEC(field), least, most \
	}

static const struct opt options[] = {
	SPEC_TEXT("id", id),
	SPEC_TEXT("address", address),
	SPEC_NUMBER("port", port, 0, 65535),
	SPEC_TEXT("data-centre", data_centre),
	SPEC_TEXT("version", version),
	SPEC_TEXT("snapshot", snapshot),
	SPEC_NUMBER("slots", slots, 1, 1000),
	SPEC_NUMBER("connections", connections, 1, 100000),
	SPEC_NUMBER("connect-us", connect_us, 0, US_PER_S),
	SPEC_NUMBER("cold-slots", cold_slots, 1, 1000),
	SPEC_NUMBER("cold-factor", cold_factor, 1, 1000),
	SPEC_NUMBER("cold-requests", cold_requests, 0, 1000000),
	SPEC_NUMBER("cold", cold, 0, 1),
	SPEC_NUMBER("service-us", service_us, 1, 60 * US_PER_S),
	SPEC_NUMBER("spread-permille", spread_permille, 0, PERMILLE),
	SPEC_NUMBER("queue", queue, 0, 100000),
	SPEC_NUMBER("seed", seed, 0, UINT32_MAX),
	{ "count", OPT_NUMBER, offsetof(struct settings, count), 1, 10000 },
	{ "targets", OPT_TEXT, offsetof(struct settings, targets), 0, 512 },
	{ "instance", OPT_TEXT, offsetof(struct settings, run), 0, 16 },
	{ "admin-port", OPT_NUMBER, offsetof(struct settings, admin_port), 0,
	  65536 },
	{ "run-s", OPT_NUMBER, offsetof(struct settings, run_s), 1, 86400 },
};

static const struct settings defaults = {
	.spec = { .id = "t1",
		  .address = "127.0.0.1",
		  .data_centre = "a",
		  .version = "v1",
		  .slots = 2,
		  .connections = 100,
		  .cold_slots = 1,
		  .cold_factor = 5,
		  .cold_requests = 50,
		  .service_us = 1000,
		  .spread_permille = 200,
		  .queue = 64,
		  .seed = 1 },
	.count = 1,
	.admin_port = MAINS_NO_PORT,
	.run_s = MAINS_RUN_S,
};

static enum err_code check(const struct target_spec *spec, struct err *err)
{
	if (!util_name_ok(spec->id, TARGET_ID_BYTES - 1))
		return err_set(err, ERR_SETTING, "id is a name");
	if (!util_name_ok(spec->data_centre, NAME_BYTES - 1))
		return err_set(err, ERR_SETTING, "data-centre is a name");
	if (!util_name_ok(spec->version, NAME_BYTES - 1))
		return err_set(err, ERR_SETTING, "version is a name");
	if (spec->snapshot[0] &&
	    !util_name_ok(spec->snapshot, SNAPSHOT_BYTES - 1))
		return err_set(err, ERR_SETTING, "snapshot is a name");
	return ERR_OK;
}

static enum err_code add(struct fleet *f, const struct settings *s,
			 struct err *err)
{
	enum err_code code = check(&s->spec, err);

	if (code != ERR_OK)
		return code;
	return fleet_add(f, &s->spec, s->run, err);
}

/*
 * Adds --count targets. Their IDs are numbered upwards from the digits at the
 * end of --id; a single target keeps --id as it is. Ports count up from --port
 * (0: each target gets a free port) and seeds from --seed.
 */
static enum err_code add_counted(struct fleet *f, const struct settings *s,
				 struct err *err)
{
	size_t stem_bytes = strlen(s->spec.id);
	uint32_t first = 0;
	uint32_t i;

	while (stem_bytes && g_ascii_isdigit(s->spec.id[stem_bytes - 1]))
		stem_bytes--;
	first = (uint32_t)strtoul(s->spec.id + stem_bytes, NULL, 10);
	for (i = 0; i < s->count; i++) {
		struct settings one = *s;

		if (s->count > 1)
			snprintf(one.spec.id, sizeof(one.spec.id), "%.*s%u",
				 (int)stem_bytes, s->spec.id, first + i);
		if (s->spec.port)
			one.spec.port = s->spec.port + i;
		one.spec.seed = s->spec.seed + i;
		if (one.spec.port > 65535)
			return err_set(err, ERR_SETTING, "port above 65535");
		if (add(f, &one, err) != ERR_OK)
			return err->code;
	}
	return ERR_OK;
}

static enum err_code add_listed(struct fleet *f, const struct settings *s,
				struct err *err)
{
	FILE *file = fopen(s->targets, "re");
	char line[LINE_BYTES];
	enum err_code code = ERR_OK;

	if (!file)
		return err_set(err, ERR_IO, "cannot read %s", s->targets);
	while (code == ERR_OK && fgets(line, sizeof(line), file)) {
		struct settings one = *s;

		if (line[0] == '#' || line[strspn(line, " \t\r\n")] == '\0')
			continue;
		code = opts_line(options, countof(options), &one, line, err);
		if (code == ERR_OK)
			code = add(f, &one, err);
	}
	fclose(file);
	return code;
}

static void print_ready(const struct fleet *f, struct http_listener *control)
{
	uint32_t i;

	for (i = 0; i < f->count; i++)
		printf("target %s %u\n", f->endpoints[i]->target.spec.id,
		       http_port(f->endpoints[i]->listener));
	if (control)
		printf("admin %u\n", http_port(control));
	printf("ready %u\n",
	       f->count ? http_port(f->endpoints[0]->listener) : 0);
	fflush(stdout);
}

static enum err_code start(struct fleet *f, const struct settings *s,
			   struct err *err)
{
	struct http_listener *control = NULL;
	enum err_code code;

	code = s->targets[0] ? add_listed(f, s, err) : add_counted(f, s, err);
	if (code != ERR_OK)
		return code;
	if (s->admin_port != MAINS_NO_PORT) {
		control = fleet_control(f, s->spec.address,
					(uint16_t)s->admin_port, err);
		if (!control)
			return err->code;
	}
	print_ready(f, control);
	return ERR_OK;
}

enum err_code main_target(int argc, char **argv, struct err *err)
{
	struct settings s = defaults;
	struct fleet f;
	struct http *h;

	if (opts_args(options, countof(options), &s, argc, argv, err) != ERR_OK)
		return err->code;
	if (!s.run[0])
		snprintf(s.run, sizeof(s.run), "%d", (int)getpid());
	h = http_new(err);
	if (!h)
		return err->code;
	fleet_init(&f, h);
	if (start(&f, &s, err) == ERR_OK)
		http_run(h, s.run_s);
	http_close(h);
	fleet_clear(&f);
	http_free(h);
	return err->code;
}
