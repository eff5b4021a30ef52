/* "standin store": reads its options and serves the store. */
#include <jansson.h>
#include <stdio.h>

#include "base/clock.h"
#include "mains.h"
#include "opts.h"
#include "store.h"

struct settings {
	char address[48];
	uint32_t port;
	uint32_t admin_port;
	uint32_t reads_per_s;
	uint32_t writes_per_s;
	uint32_t hosts_lag_ms;
	/* Path of a file with {"hosts":[...]}; empty: the list starts empty. */
	char hosts[512];
	uint32_t seed;
	uint32_t run_s;
};

#define TEXT(key, field)                                            \
	{                                                           \
		key, OPT_TEXT, offsetof(struct settings, field), 0, \
			sizeof(((struct settings *)0)->field)       \
	}
#define NUMBER(key, field, least, most)                                        \
	{                                                                      \
		key, OPT_NUMBER, offsetof(struct settings, field), least, most \
	}

static const struct opt options[] = {
	TEXT("address", address),
	NUMBER("port", port, 0, 65535),
	NUMBER("admin-port", admin_port, 0, 65536),
	NUMBER("reads-per-s", reads_per_s, 0, 1000000),
	NUMBER("writes-per-s", writes_per_s, 0, 1000000),
	NUMBER("hosts-lag-ms", hosts_lag_ms, 0, 600000),
	TEXT("hosts", hosts),
	NUMBER("seed", seed, 0, UINT32_MAX),
	NUMBER("run-s", run_s, 1, 86400),
};

/* The rates are those of the platform's service. */
static const struct settings defaults = {
	.address = "127.0.0.1",
	.admin_port = MAINS_NO_PORT,
	.reads_per_s = 2000,
	.writes_per_s = 400,
	.seed = 1,
	.run_s = MAINS_RUN_S,
};

static enum err_code load_hosts(struct store *s, const char *path,
				struct err *err)
{
	json_t *body = json_load_file(path, 0, NULL);
	enum err_code code;

	if (!body)
		return err_set(err, ERR_BAD_JSON, "cannot read %s", path);
	code = store_hosts_set(s->hosts, body, clock_now_us(), err);
	json_decref(body);
	return code;
}

static enum err_code start(struct store *s, const struct settings *set,
			   struct err *err)
{
	struct http_listener *control;

	s->rates[0].per_s = set->reads_per_s;
	s->rates[1].per_s = set->writes_per_s;
	if (set->hosts[0] && load_hosts(s, set->hosts, err) != ERR_OK)
		return err->code;
	store_hosts_lag(s->hosts, set->hosts_lag_ms);
	if (store_listen(s, set->address, (uint16_t)set->port, err) != ERR_OK)
		return err->code;
	if (set->admin_port != MAINS_NO_PORT) {
		control = store_control(s, set->address,
					(uint16_t)set->admin_port, err);
		if (!control)
			return err->code;
		printf("admin %u\n", http_port(control));
	}
	printf("ready %u\n", http_port(s->listener));
	fflush(stdout);
	return ERR_OK;
}

enum err_code main_store(int argc, char **argv, struct err *err)
{
	struct settings set = defaults;
	struct store *s;
	struct http *h;

	if (opts_args(options, countof(options), &set, argc, argv, err) !=
	    ERR_OK)
		return err->code;
	h = http_new(err);
	if (!h)
		return err->code;
	s = store_new(h, set.seed);
	if (start(s, &set, err) == ERR_OK)
		http_run(h, set.run_s);
	http_close(h);
	store_free(s);
	http_free(h);
	return err->code;
}
