#ifndef SGR_FRAME_H
#define SGR_FRAME_H

#include "buffer.h"
#include "peer.pb-c.h"
#include "result.h"

/* Version of the frames, sent in Hello. */
#define SGR_FRAME_VERSION 1
/* Bytes of the big-endian message length that precedes each message. */
#define SGR_FRAME_HEADER_BYTES 4
/* Largest part of a body in one frame. */
#define SGR_FRAME_CHUNK_BYTES (64 * 1024)
/* Largest message: one part of a body and its other fields. */
#define SGR_FRAME_MAX_BYTES (SGR_FRAME_CHUNK_BYTES + 4 * 1024)

/**
 * sgr_frame_append() - append one encoded frame to a buffer
 * @out: receives a 4-byte big-endian length and the message
 * @frame: the message
 *
 * Return: SGR_ERR_LIMIT if the message exceeds SGR_FRAME_MAX_BYTES; @out is then unchanged.
 */
sgr_result_t sgr_frame_append (sgr_buffer_t *out, const Sgr__Pb__PeerFrame *frame);

/**
 * sgr_frame_decode() - decode the first frame of received bytes
 * @bytes: received bytes
 * @length: number of received bytes
 * @frame: receives the message, to be freed with sgr_frame_free(), or NULL if more bytes are needed
 * @consumed: receives the length of the frame in bytes, 0 if more bytes are needed
 *
 * Return: SGR_ERR_LIMIT for a message that exceeds SGR_FRAME_MAX_BYTES, SGR_ERR_INVALID for one
 * that is empty, malformed or lacks a required part; the connection must then be closed.
 */
sgr_result_t sgr_frame_decode (const uint8_t *bytes, size_t length, Sgr__Pb__PeerFrame **frame,
                               size_t *consumed);

/** sgr_frame_free() - free a decoded message; NULL is allowed */
void sgr_frame_free (Sgr__Pb__PeerFrame *frame);

/**
 * sgr_frame_attempt_id() - get the id of the attempt that a frame belongs to
 * @frame: the message
 * @id: receives the id
 *
 * Return: false if frames of this type carry no attempt id.
 */
bool sgr_frame_attempt_id (const Sgr__Pb__PeerFrame *frame, sgr_attempt_id_t *id);

/**
 * sgr_frame_attempt_id_set() - convert an attempt id to a message
 * @message: receives the id
 * @id: the id
 */
void sgr_frame_attempt_id_set (Sgr__Pb__AttemptId *message, const sgr_attempt_id_t *id);

/** sgr_frame_load_set() - convert a load report to a message, without the key generation */
void sgr_frame_load_set (Sgr__Pb__LoadReport *message, const sgr_load_report_t *load);

/**
 * sgr_frame_load_get() - convert a message to a load report
 * @message: the message
 * @load: receives the report; an undefined state becomes SGR_TARGET_NONE
 */
void sgr_frame_load_get (const Sgr__Pb__LoadReport *message, sgr_load_report_t *load);

#endif
