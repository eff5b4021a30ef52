/* Contract, layout and host list of a run, in the store and in files. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "codec/cfg_json.h"
#include "setup.h"

static enum err_code put(struct bench_setup *st, const char *key,
			 const char *value, struct err *err)
{
	g_autofree char *value_base64 =
		g_base64_encode((const guchar *)value, strlen(value));
	g_autofree char *body = g_strdup_printf("{\"expect\":[],\"writes\":[{"
						"\"key\":\"%s\","
						"\"value\":\"%s\"}],\"delete\":"
						"[]}",
						key, value_base64);
	uint32_t status = http_client_wait(st->client, st->store_port, "POST",
					   "/api/kv-txn", body,
					   BENCH_SETUP_CONTROL_WAIT_US, NULL);

	if (status != 200)
		return err_set(err, ERR_IO,
			       "store stand-in answered the write of %s with "
			       "HTTP status %u",
			       key, status);
	return ERR_OK;
}

/* Writes one item as revision h->rev + 1 and enters it in @h. */
static enum err_code put_item(struct bench_setup *st, struct cfg_head *h,
			      const char *name, const char *json,
			      struct err *err)
{
	uint64_t rev = h->rev + 1;
	struct cfg_head_entry entry = { .rev = rev, .change_id = rev };
	g_autofree char *key = g_strdup_printf(
		"cfg/item/%s/%" PRIu64 "-%016" PRIx64, name, rev, rev);
	struct cfg_item *item = cfg_item_new(name, rev, rev, "bench", json);
	char *text CLEANUP_FREE = cfg_json_encode_item(item);

	util_copy_str(entry.name, sizeof(entry.name), name);
	cfg_head_advance(h, rev);
	cfg_head_put(h, &entry);
	cfg_item_unref(item);
	return put(st, key, text, err);
}

enum err_code bench_setup_put_config(struct bench_setup *st, struct err *err)
{
	const struct scenario *s = st->scenario;
	struct cfg_head *h = cfg_head_new();
	g_autofree char *contract_name =
		g_strdup_printf("contract/%s", s->customer);
	g_autofree char *layout_name = g_strdup_printf("layout/%s", s->index);
	char *contract_json CLEANUP_FREE = NULL;
	char *layout_json CLEANUP_FREE = cfg_json_encode_layout(st->layout);
	char *head CLEANUP_FREE = NULL;
	struct contract c;

	scenario_contract(s, &c);
	contract_json = cfg_json_encode_contract(&c);
	if (put_item(st, h, contract_name, contract_json, err) == ERR_OK &&
	    put_item(st, h, layout_name, layout_json, err) == ERR_OK) {
		head = cfg_json_encode_head(h);
		put(st, "cfg/head", head, err);
	}
	cfg_head_free(h);
	return err->code;
}

enum err_code bench_setup_put_hosts(struct bench_setup *st, struct err *err)
{
	struct buf b CLEANUP_BUF = { 0 };
	uint32_t i;

	buf_addf(&b, "{\"hosts\":[");
	for (i = 0; i < st->host_count; i++)
		buf_addf(&b,
			 "%s{\"id\":\"h%u\",\"address\":\"127.0.0.1\","
			 "\"port\":%u,\"data_centre\":\"%c\","
			 "\"role\":\"entry\",\"state\":\"live\"}",
			 i ? "," : "", i + 1, st->peer_ports[i],
			 'a' + (int)(i % 3));
	for (i = 0; i < st->layout->target_count; i++)
		buf_addf(&b,
			 ",{\"id\":\"%s\",\"address\":\"127.0.0.1\","
			 "\"port\":%u,\"data_centre\":\"%s\","
			 "\"role\":\"target\",\"state\":\"live\"}",
			 st->layout->targets[i].id, st->layout->targets[i].port,
			 st->layout->targets[i].data_centre);
	buf_addf(&b, "]}");
	if (http_client_wait(st->client, st->store_control_port, "POST",
			     "/control/hosts", b.data,
			     BENCH_SETUP_CONTROL_WAIT_US, NULL) != 200)
		return err_set(err, ERR_IO,
			       "store stand-in refused the host list");
	return ERR_OK;
}

static enum err_code write_text(const char *path, const char *text,
				struct err *err)
{
	FILE *f = fopen(path, "we");

	if (!f)
		return err_set(err, ERR_IO, "cannot write %s", path);
	fputs(text, f);
	fclose(f);
	return ERR_OK;
}

enum err_code bench_setup_write_documents(struct bench_setup *st,
					  struct err *err)
{
	char *layout_json CLEANUP_FREE = cfg_json_encode_layout(st->layout);
	char *contract_json CLEANUP_FREE = NULL;
	struct contract c;

	scenario_contract(st->scenario, &c);
	contract_json = cfg_json_encode_contract(&c);
	if (write_text("build/bench-contract.json", contract_json, err) ==
	    ERR_OK)
		write_text("build/bench-layout.json", layout_json, err);
	return err->code;
}
