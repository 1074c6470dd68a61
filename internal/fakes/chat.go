// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package fakes

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
)

// ChatRequest is the body of a chat completion request. MaxTokens is the number of words in the
// answer; 0 or less for 16.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// defaultWords is the number of words in an answer to a request without max_tokens.
const defaultWords = 16

// Words returns the words of the engine's answer to a request. They depend only on the last
// message and MaxTokens, so that a caller can check that it received the answer to its own
// request.
func Words(req ChatRequest) []string {
	n := req.MaxTokens
	if n <= 0 {
		n = defaultWords
	}
	h := fnv.New32a()
	if len(req.Messages) > 0 {
		_, _ = h.Write([]byte(req.Messages[len(req.Messages)-1].Content))
	}
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("%08x-%d ", h.Sum32(), i)
	}
	return words
}

// promptTokens returns the number of words in a prompt; a word counts as one token.
func promptTokens(req ChatRequest) int {
	n := 0
	for _, m := range req.Messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(req ChatRequest, words int) usage {
	p := promptTokens(req)
	return usage{PromptTokens: p, CompletionTokens: words, TotalTokens: p + words}
}

func sseChunk(model, word string) []byte {
	return fmt.Appendf(nil, "data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", model, word)
}

func sseUsage(req ChatRequest, words int) []byte {
	u, _ := json.Marshal(usageOf(req, words))
	return fmt.Appendf(nil, "data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[],\"usage\":%s}\n\n", req.Model, u)
}

func wholeAnswer(req ChatRequest, words []string) []byte {
	type choice struct {
		Index        int     `json:"index"`
		Message      Message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	body, _ := json.Marshal(struct {
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{"chat.completion", req.Model,
		[]choice{{0, Message{Role: "assistant", Content: strings.Join(words, "")}, "stop"}}, usageOf(req, len(words))})
	return body
}
