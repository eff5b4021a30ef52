/* Functions of struct ctl_io for the real process; see ctl.h. */
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/curl_head.h"
#include "ctl/ctl.h"

#define CONNECT_MS 2000L
/* Longer than a host needs for a change while the store is slow. */
#define CALL_TIMEOUT_MS 20000L
#define ANSWER_BYTES_MAX (16U * 1024 * 1024)

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct buf *out = ctx;

	if (out->len_bytes + count > ANSWER_BYTES_MAX)
		return 0;
	buf_add(out, data, count);
	return count;
}

static struct curl_slist *make_headers(const char *token)
{
	struct curl_slist *list = NULL;
	const char *user = getenv("USER");
	char line[256];

	if (user) {
		snprintf(line, sizeof(line), "X-Operator: %s", user);
		list = curl_slist_append(list, line);
	}
	if (token && token[0]) {
		snprintf(line, sizeof(line), "Authorization: Bearer %s", token);
		list = curl_slist_append(list, line);
	}
	return curl_slist_append(list, "Expect:");
}

static void set_options(CURL *curl, const char *url, const char *method,
			const char *body, struct curl_slist *list,
			struct buf *out)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, out);
	if (!body && strcmp(method, "GET") == 0)
		return;
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body ? body : "");
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
			 (long)(body ? strlen(body) : 0));
}

static enum err_code code_of_transfer(CURLcode result, const char *admin,
				      struct err *err)
{
	if (result == CURLE_OK)
		return ERR_OK;
	if (result == CURLE_COULDNT_CONNECT || result == CURLE_URL_MALFORMAT ||
	    result == CURLE_COULDNT_RESOLVE_HOST)
		return err_set(err, ERR_IO, "host %s is not reachable: %s",
			       admin, curl_easy_strerror(result));
	return err_set(err, ERR_STORE_UNKNOWN,
		       "answer of host %s was lost (%s); a change may have "
		       "taken effect, see 'ctl status'",
		       admin, curl_easy_strerror(result));
}

static enum err_code call(void *ctx, const char *admin, const char *token,
			  const char *method, const char *path,
			  const char *body, uint32_t *http_status,
			  struct buf *out, struct err *err)
{
	CURL *curl = curl_easy_init();
	struct curl_slist *list = make_headers(token);
	char url[512];
	struct curl_head head;
	CURLcode result;
	long status = 0;

	snprintf(url, sizeof(url), "http://%s/admin/v1/%s", admin, path);
	set_options(curl, url, method, body, list, out);
	curl_head_watch(&head, curl);
	result = curl_head_result(&head, curl_easy_perform(curl));
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	*http_status = (uint32_t)status;
	curl_slist_free_all(list);
	curl_easy_cleanup(curl);
	return code_of_transfer(result, admin, err);
}

static void print(void *ctx, enum ctl_stream to, const char *text)
{
	FILE *stream = to == CTL_STDOUT ? stdout : stderr;

	fputs(text, stream);
	fflush(stream);
}

static const char *env_value(void *ctx, const char *name)
{
	return getenv(name);
}

static void pause_ms(void *ctx, uint32_t ms)
{
	usleep(ms * US_PER_MS);
}

int ctl_main(int argc, char **argv)
{
	struct ctl_io io = {
		.call = call,
		.print = print,
		.env_value = env_value,
		.sleep_ms = pause_ms,
		.is_terminal = (uint32_t)isatty(STDERR_FILENO),
	};
	int result;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	result = ctl_run(&io, argc, argv);
	curl_global_cleanup();
	return result;
}
