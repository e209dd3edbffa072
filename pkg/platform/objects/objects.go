// Package objects reaches the platform's object store by the S3 protocol, with
// the bucket in the path.
package objects

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	"crocusramp.dev/crocusramp/pkg/platform"
	"crocusramp.dev/crocusramp/pkg/platform/internal/attempt"
)

const (
	// defaultTimeout bounds a call where Config sets no bound.
	defaultTimeout = 10 * time.Second
	// readAttempts is how often a read is sent, the first time included.
	readAttempts = 2
	// maxReadBackoff bounds the pause between two attempts of a read.
	maxReadBackoff = 100 * time.Millisecond
)

// Config says where the object store is.
type Config struct {
	// Endpoint is the service's base URL. Nothing else is connected to.
	Endpoint string
	// Region is part of the requests' signatures.
	Region string
	// Bucket holds all objects.
	Bucket string
	// AccessKey and SecretKey sign the requests. The environment, shared
	// files and metadata services are never asked for credentials.
	AccessKey string
	SecretKey string
	// Timeout bounds each call, its body included; 0 means 10 s. Writes that
	// pass it are indeterminate.
	Timeout time.Duration
}

// Store is a platform.Objects.
type Store struct {
	client  *s3.Client
	bucket  string
	timeout time.Duration
}

var _ platform.Objects = (*Store)(nil)

// New returns the store that config names. It connects to nothing yet.
func New(config Config) *Store {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(config.Endpoint),
		Region:                     config.Region,
		Credentials:                credentials.NewStaticCredentialsProvider(config.AccessKey, config.SecretKey, ""),
		HTTPClient:                 attempt.NewClient(),
		UsePathStyle:               true,
		Retryer:                    aws.NopRetryer{},
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		// Session credentials would be one more call.
		DisableS3ExpressSessionAuth: aws.Bool(true),
	})
	return &Store{client: client, bucket: config.Bucket, timeout: config.Timeout}
}

// Get implements platform.Objects.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	out, err := s.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &s.bucket, Key: &name}, retryReads)
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, fmt.Errorf("get object %s: %w", name, platform.ErrNotFound)
	}
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", name, attempt.ReadError(err))
	}
	defer out.Body.Close()
	data, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", name, attempt.ReadError(err))
	}
	return data, nil
}

// Put implements platform.Objects.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	ctx, a := attempt.Start(ctx)
	_, err := s.client.PutObject(ctx, &s3.PutObjectInput{Bucket: &s.bucket, Key: &name, Body: bytes.NewReader(data)})
	if err != nil {
		return fmt.Errorf("put object %s: %w", name, a.WriteError(err))
	}
	return nil
}

// retryReads lets the SDK repeat a read a bounded number of times.
func retryReads(o *s3.Options) {
	o.Retryer = retry.NewStandard(func(r *retry.StandardOptions) {
		r.MaxAttempts = readAttempts
		r.MaxBackoff = maxReadBackoff
	})
}
