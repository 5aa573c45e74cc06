"""Policies created from settings, and the parameters that disable mechanisms."""

import json

import pytest

from boragegw import balancing, errors, utils
from boragegw.platform import _settings


@pytest.mark.parametrize(
    "parameters",
    [
        5,
        {"nothing": {}},
        {"asking": 5},
        {"asking": {"nothing": 1}},
        {"asking": {"most": 0}},
        {"pace": {"slow_share": "0.5"}},
    ],
)
def test_error_of_an_invalid_setting_names_what_was_expected(parameters):
    with pytest.raises(utils.InvalidParameterError, match="expected"):
        balancing.PolicySettings(parameters).check()
    with pytest.raises(errors.ConfigurationError, match="expected"):
        _settings._load_policy_parameters(json.dumps(parameters))


@pytest.mark.parametrize("mechanism", sorted(balancing.DISABLING_PARAMETERS))
def test_disabling_parameters_are_valid_and_differ_from_defaults(mechanism):
    settings = balancing.PolicySettings(balancing.DISABLING_PARAMETERS[mechanism])
    settings.check()
    for name, values in settings.parameters.items():
        defaults = balancing.PolicySettings().make(name).get_params()
        assert all(defaults[key] != value for key, value in values.items())


def test_policies_without_settings_have_their_defaults():
    for name, policy in balancing.POLICIES.items():
        assert balancing.PolicySettings().make(name).get_params() == (
            policy().get_params()
        )
