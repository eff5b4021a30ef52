/*
 * Scripted runs over the JSON documents of the store: each command decodes and
 * checks its document and encodes it again. Each script names the failure that
 * it guards against.
 */
#include <string.h>

#include "codec/host_list_json.h"
#include "codec/cfg_json.h"
#include "control_areas.h"

/* The commands share no state; a script needs a context all the same. */
static void *cfg_json_ctx_new(void)
{
	return util_alloc(1, 1);
}

/* Prints the error, or else @text, which it frees. */
static void print(struct buf *out, const struct err *err, char *text)
{
	if (err->code != ERR_OK)
		buf_addf(out, "%s: %s\n", err_name(err->code), err->detail);
	else
		buf_addf(out, "%s\n", text ? text : "");
	free(text);
}

static void cmd_contract(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct contract *contract CLEANUP_FREE =
		util_alloc(1, sizeof(*contract));
	struct err err = { 0 };
	int ok = cfg_json_decode_contract(argv[0], contract, &err) == ERR_OK;

	print(out, &err, ok ? cfg_json_encode_contract(contract) : NULL);
}

static void cmd_layout(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct err err = { 0 };
	struct layout *l = cfg_json_decode_layout(argv[0], &err);

	print(out, &err, l ? cfg_json_encode_layout(l) : NULL);
	layout_free(l);
}

static void cmd_dc(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct dc_item d;
	struct err err = { 0 };
	int ok = cfg_json_decode_dc(argv[0], &d, &err) == ERR_OK;

	print(out, &err, ok ? cfg_json_encode_dc(&d) : NULL);
}

static void cmd_host(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct host_item h;
	struct err err = { 0 };
	int ok = cfg_json_decode_host(argv[0], &h, &err) == ERR_OK;

	print(out, &err, ok ? cfg_json_encode_host(&h) : NULL);
}

static void cmd_rollout(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct rollout_item r;
	struct err err = { 0 };
	int ok = cfg_json_decode_rollout(argv[0], &r, &err) == ERR_OK;

	print(out, &err, ok ? cfg_json_encode_rollout(&r) : NULL);
}

static void cmd_head(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct err err = { 0 };
	struct cfg_head *h = cfg_json_decode_head(argv[0], &err);

	print(out, &err, h ? cfg_json_encode_head(h) : NULL);
	cfg_head_free(h);
}

static void cmd_item(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct err err = { 0 };
	struct cfg_item *item = cfg_json_decode_item(argv[0], &err);

	print(out, &err, item ? cfg_json_encode_item(item) : NULL);
	cfg_item_unref(item);
}

static void cmd_check(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct err err = { 0 };

	cfg_json_check_item(argv[0], argc > 1 ? argv[1] : NULL, &err);
	print(out, &err, util_strdup("ok"));
}

static void cmd_hosts(void *ctx, uint32_t argc, char **argv, struct buf *out)
{
	struct err err = { 0 };
	uint32_t refused;
	struct host_list *list = host_list_json_decode(argv[0], &refused, &err);
	uint32_t i;

	if (!list) {
		print(out, &err, NULL);
		return;
	}
	for (i = 0; i < list->count; i++)
		buf_addf(out, "%s %s:%u %s %s %s\n", list->hosts[i].id,
			 list->hosts[i].address, list->hosts[i].port,
			 list->hosts[i].data_centre,
			 list->hosts[i].is_entry_host ? "entry" : "target",
			 list->hosts[i].is_leaving ? "leaving" : "live");
	buf_addf(out, "refused %u\n", refused);
	host_list_free(list);
}

static const struct script_command commands[] = {
	{ "contract", cmd_contract },
	{ "layout", cmd_layout },
	{ "dc", cmd_dc },
	{ "host", cmd_host },
	{ "rollout", cmd_rollout },
	{ "head", cmd_head },
	{ "item", cmd_item },
	{ "check", cmd_check },
	{ "hosts", cmd_hosts },
};

const struct script_area cfg_json_area = {
	.name = "cfgjson",
	.ctx_new = cfg_json_ctx_new,
	.ctx_free = free,
	.command_count = countof(commands),
	.commands = commands,
};
