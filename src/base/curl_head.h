/*
 * Tells whether libcurl has read the head of an answer to its end. A transfer
 * succeeds, with a status and without a body, also when the connection ends
 * after the first line of the head.
 */
#ifndef CURL_HEAD_H
#define CURL_HEAD_H

#include <curl/curl.h>
#include <stdint.h>

struct curl_head {
	/* 1 once the line that ends the head was read. */
	uint32_t is_complete;
};

/*
 * Watches the next transfer of @easy; @h has to outlive it. Sets the header
 * callback of @easy.
 */
void curl_head_watch(struct curl_head *h, CURL *easy);
/*
 * Result of a transfer that ended with @code: CURLE_PARTIAL_FILE if it would be
 * a success although the head is not complete.
 */
CURLcode curl_head_result(const struct curl_head *h, CURLcode code);

#endif
