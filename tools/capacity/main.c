/* Program "capacity": measures all series, writes them as JSON and as plots. */
#include <apr_general.h>
#include <curl/curl.h>
#include <stdio.h>

#include "base/util.h"
#include "bench/proc.h"
#include "cap.h"
#include "controller/membership.h"
#include "duty/request_duty.h"
#include "filter/pipeline_internal.h"

/* Sizes that the capacity page needs beside the slopes. */
static void print_sizes(void)
{
	printf("sizes in bytes: contract %zu, target %zu, shard %zu, "
	       "member %zu, heartbeat %zu, subrequest_msg %zu, "
	       "subrequest_result %zu, subrequest %zu, target_state %zu\n",
	       sizeof(struct contract), sizeof(struct target),
	       sizeof(struct shard), sizeof(struct member_info),
	       sizeof(struct heartbeat), sizeof(struct subrequest_msg),
	       sizeof(struct subrequest_result), sizeof(struct subrequest),
	       sizeof(struct target_state));
}

int main(void)
{
	struct cap c = { 0 };
	struct err err = { 0 };

	proc_init();
	if (apr_initialize() != APR_SUCCESS ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return 1;
	print_sizes();
	cap_base(&c);
	cap_codec(&c);
	cap_membership(&c);
	cap_config(&c);
	cap_path(&c);
	cap_view(&c);
	cap_target(&c, &err);
	printf("resident at the end: %.1f MB\n", cap_resident_bytes() / 1e6);
	if (err.code == ERR_OK &&
	    cap_write_json(&c, "build/capacity.json", &err) == ERR_OK)
		cap_write_svg(&c, "build/capacity.svg", &err);
	free(c.series);
	apr_terminate();
	if (err.code == ERR_OK)
		return 0;
	fprintf(stderr, "capacity: %d %s: %s\n", (int)err.code,
		err_name(err.code), err.detail);
	return 1;
}
