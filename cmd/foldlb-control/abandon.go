package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// maxAnswerBytes bounds what is read of an answer to an order.
const maxAnswerBytes = 16 << 10

func abandonCommand() *cli.Command {
	const consent = "messages-may-be-lost"
	return &cli.Command{
		Name:      "abandon",
		Usage:     "go on without a store whose disk will not come back, where more stores are lost than may be",
		ArgsUsage: "NODE",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringFlag{Name: "address", Usage: "host:port of any control process; without it those that the settings name"},
			&cli.BoolFlag{Name: consent, Usage: "accepted messages of which every copy was on lost disks are gone"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			node := command.Args().First()
			if node == "" || command.Args().Len() > 1 {
				return errors.New("name one store machine, as the status shows it")
			}
			if !command.Bool(consent) {
				return errors.Errorf("give --%s if no other way is left: a store that comes back brings its copies, an abandoned one may not", consent)
			}
			addresses, err := statusAddresses(command)
			if err != nil {
				return err
			}
			if err := abandon(ctx, addresses, node); err != nil {
				return err
			}
			fmt.Println(node, "is abandoned")
			return nil
		},
	}
}

// abandon gives the order to the first control process that takes or refuses it.
func abandon(ctx context.Context, addresses []string, node string) error {
	var fault error
	for _, address := range addresses {
		answer, status, err := order(ctx, "http://"+address+"/internal/stores/"+url.PathEscape(node)+"/abandon")
		switch {
		case err != nil:
			fault = err
		case status == http.StatusOK:
			return nil
		case status >= http.StatusInternalServerError:
			fault = errors.Errorf("%s answered %d, %s: try again", address, status, answer)
		default:
			return errors.New(answer)
		}
	}
	return fault
}

// order posts to a control process; a redirection to the leader is followed.
func order(ctx context.Context, address string) (answer string, status int, err error) {
	asking, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(asking, http.MethodPost, address, http.NoBody)
	if err != nil {
		return "", 0, errors.Wrap(err, "correct the address: it is host:port")
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return "", 0, errors.Wrap(err, "ask another control process")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return "", 0, errors.Wrap(err, "the answer did not come whole: give the order again")
	}
	return string(body), response.StatusCode, nil
}
